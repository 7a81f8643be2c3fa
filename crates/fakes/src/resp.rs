//! RESP2 as the stand-ins need it: commands in, answers out, and the other way round. Bounded, and written apart
//! from the limiter's own parsers, so that the two check each other.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// No message of a play is longer.
const LONGEST: usize = 256 << 10;

fn wrong(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// The line at `at`, without its end, and where the next begins.
fn line(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let end = bytes[at..].windows(2).position(|two| two == b"\r\n")?;
    Some((&bytes[at..at + end], at + end + 2))
}

fn number(text: &[u8]) -> io::Result<i64> {
    std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| wrong("a length is no number"))
}

/// The command at the start of `bytes`, if it is whole: its words and its length.
pub(crate) fn command(bytes: &[u8]) -> io::Result<Option<(Vec<String>, usize)>> {
    let Some((head, mut at)) = line(bytes, 0) else {
        return Ok(None);
    };
    let Some(count) = head.strip_prefix(b"*") else {
        return Err(wrong("a command is an array"));
    };
    let count = number(count)?;
    if !(1..=16).contains(&count) {
        return Err(wrong("a command has 1 to 16 words"));
    }
    let mut words = Vec::new();
    for _ in 0..count {
        let Some((head, start)) = line(bytes, at) else {
            return Ok(None);
        };
        let Some(length) = head.strip_prefix(b"$") else {
            return Err(wrong("a word is a bulk string"));
        };
        let length = usize::try_from(number(length)?).map_err(|_| wrong("a word has a length"))?;
        if length > LONGEST {
            return Err(wrong("a word is too long"));
        }
        if bytes.len() < start + length + 2 {
            return Ok(None);
        }
        words.push(String::from_utf8_lossy(&bytes[start..start + length]).into_owned());
        at = start + length + 2;
    }
    Ok(Some((words, at)))
}

/// An answer as a client gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// A bulk string.
    Bulk(String),
    /// A line, with its mark: `+PONG`, `-BUSY 250`.
    Line(String),
}

/// The answer at the start of `bytes`, if it is whole, and its length.
pub(crate) fn reply(bytes: &[u8]) -> io::Result<Option<(Reply, usize)>> {
    let Some((head, at)) = line(bytes, 0) else {
        return Ok(None);
    };
    match head.split_first() {
        Some((b'$', length)) => {
            let length = usize::try_from(number(length)?).map_err(|_| wrong("a null answer"))?;
            if bytes.len() < at + length + 2 {
                return Ok(None);
            }
            let text = String::from_utf8_lossy(&bytes[at..at + length]).into_owned();
            Ok(Some((Reply::Bulk(text), at + length + 2)))
        }
        Some((b'+' | b'-', _)) => Ok(Some((
            Reply::Line(String::from_utf8_lossy(head).into_owned()),
            at,
        ))),
        _ => Err(wrong("an answer of an unknown kind")),
    }
}

/// A command's bytes.
pub(crate) fn write(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    for word in words {
        out.push_str(&format!("${}\r\n{word}\r\n", word.len()));
    }
    out.into_bytes()
}

/// Reads more; `false` at the end of the connection.
pub(crate) async fn more(
    stream: &mut (impl AsyncRead + Unpin),
    input: &mut Vec<u8>,
) -> io::Result<bool> {
    if input.len() > LONGEST * 2 {
        return Err(wrong("a message is too long"));
    }
    Ok(stream.read_buf(input).await? > 0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_and_parts_are_waited_for() {
        let bytes = write(&["Q.DO", "7", "", "c=x,d=5"]);
        assert_eq!(
            command(&bytes).expect("sound"),
            Some((
                vec!["Q.DO".into(), "7".into(), "".into(), "c=x,d=5".into()],
                bytes.len()
            ))
        );
        assert!((0..bytes.len()).all(|cut| command(&bytes[..cut]).expect("no fault yet").is_none()));
        assert_eq!(
            reply(b"$2\r\nab\r\n+").expect("sound"),
            Some((Reply::Bulk("ab".into()), 8))
        );
        assert_eq!(
            reply(b"-BUSY 5\r\n").expect("sound"),
            Some((Reply::Line("-BUSY 5".into()), 9))
        );
        assert!(
            command(b"*-1\r\n").is_err()
                && command(b"$1\r\n").is_err()
                && reply(b"*1\r\n").is_err()
        );
    }
}
