//! RESP2: an incremental parser for commands and replies, and a writer.
//!
//! Both parsers look at all that has come so far. `Ok(None)` means that more must come; what is malformed can
//! never become a message, and what follows it on the connection cannot be read.

use super::super::config::Limits;
use std::fmt::Write as _;
use std::io;
use std::ops::Range;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A whole command: its words, as places in the buffer, and its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The words; `None` for a null one, which no command holds.
    pub words: Vec<Option<Range<usize>>>,
    /// Bytes it takes in the buffer.
    pub length: usize,
}

/// A whole reply; texts are places in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// `+...`
    Simple(Range<usize>),
    /// `-...`
    Error(Range<usize>),
    /// `:...`
    Integer(i64),
    /// A bulk string, or null.
    Bulk(Option<Range<usize>>),
    /// An array, or null.
    Array(Option<Vec<Reply>>),
}

/// The longest line: a length, a status or an error.
const LINE: usize = 1024;
/// How deep arrays may nest.
const DEPTH: usize = 4;

struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
    limits: &'a Limits,
    /// Members that arrays may still hold, all together: bounds what a few bytes can make of memory.
    left: usize,
}

type Parsed<T> = Result<Option<T>, Malformed>;

impl Cursor<'_> {
    /// The next line, without its end.
    fn line(&mut self) -> Parsed<Range<usize>> {
        let rest = &self.bytes[self.at..];
        let window = &rest[..rest.len().min(LINE)];
        match window
            .iter()
            .position(|&byte| byte == b'\r' || byte == b'\n')
        {
            Some(end) if window[end] == b'\n' => {
                Err(Malformed("a line ends without a carriage return"))
            }
            Some(end) => match rest.get(end + 1) {
                None => Ok(None),
                Some(b'\n') => {
                    let line = self.at..self.at + end;
                    self.at += end + 2;
                    Ok(Some(line))
                }
                Some(_) => Err(Malformed("a carriage return within a line")),
            },
            None if rest.len() >= LINE => Err(Malformed("a line is too long")),
            None => Ok(None),
        }
    }

    /// A length, or null as `None`.
    fn length(&mut self, most: usize) -> Parsed<Option<usize>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let digits = &self.bytes[line];
        if digits == b"-1" {
            return Ok(Some(None));
        }
        let plain =
            !digits.is_empty() && digits.len() <= 9 && digits.iter().all(u8::is_ascii_digit);
        let length = plain.then(|| {
            digits
                .iter()
                .fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0'))
        });
        match length {
            None => Err(Malformed("not a length")),
            Some(length) if length > most => Err(Malformed("too long")),
            Some(length) => Ok(Some(Some(length))),
        }
    }

    /// What follows the `$` of a bulk string.
    fn bulk(&mut self) -> Parsed<Option<Range<usize>>> {
        let Some(length) = self.length(self.limits.codec.max_value_bytes)? else {
            return Ok(None);
        };
        let Some(length) = length else {
            return Ok(Some(None));
        };
        let text = self.at..self.at + length;
        let end = &self.bytes[text.end.min(self.bytes.len())..];
        if end.first().is_some_and(|&byte| byte != b'\r')
            || end.get(1).is_some_and(|&byte| byte != b'\n')
        {
            return Err(Malformed("a bulk string does not end where it should"));
        }
        if end.len() < 2 {
            return Ok(None);
        }
        self.at = text.end + 2;
        Ok(Some(Some(text)))
    }

    fn kind(&mut self) -> Option<u8> {
        let kind = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(kind)
    }

    fn reply(&mut self, depth: usize) -> Parsed<Reply> {
        let Some(kind) = self.kind() else {
            return Ok(None);
        };
        Ok(match kind {
            b'+' => self.line()?.map(Reply::Simple),
            b'-' => self.line()?.map(Reply::Error),
            b':' => {
                let Some(line) = self.line()? else {
                    return Ok(None);
                };
                let text = std::str::from_utf8(&self.bytes[line]).ok();
                let number = text
                    .and_then(|text| text.parse().ok())
                    .ok_or(Malformed("not an integer"))?;
                Some(Reply::Integer(number))
            }
            b'$' => self.bulk()?.map(Reply::Bulk),
            b'*' if depth < DEPTH => {
                let Some(count) = self.length(self.left)? else {
                    return Ok(None);
                };
                let Some(count) = count else {
                    return Ok(Some(Reply::Array(None)));
                };
                self.left -= count;
                let mut members = Vec::with_capacity(count);
                for _ in 0..count {
                    let Some(member) = self.reply(depth + 1)? else {
                        return Ok(None);
                    };
                    members.push(member);
                }
                Some(Reply::Array(Some(members)))
            }
            b'*' => return Err(Malformed("arrays nest too deep")),
            _ => return Err(Malformed("no such type")),
        })
    }
}

fn within(at: usize, limits: &Limits) -> Result<(), Malformed> {
    if at > limits.codec.max_frame_bytes {
        return Err(Malformed("a message is too long"));
    }
    Ok(())
}

/// The command at the start of `bytes`, if it is whole.
///
/// # Errors
/// The bytes are malformed or exceed a limit.
pub fn command(bytes: &[u8], limits: &Limits) -> Parsed<Command> {
    let mut cursor = Cursor {
        bytes,
        at: 0,
        limits,
        left: 0,
    };
    match cursor.kind() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(Malformed("a command is an array of bulk strings")),
    }
    let Some(count) = cursor.length(limits.codec.max_arguments)? else {
        return Ok(None);
    };
    let mut words = Vec::with_capacity(count.unwrap_or(0));
    for _ in 0..count.unwrap_or(0) {
        match cursor.kind() {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err(Malformed("a command is an array of bulk strings")),
        }
        let Some(word) = cursor.bulk()? else {
            // What it announces counts too: a command that cannot fit is not waited for.
            return within(bytes.len(), limits).map(|()| None);
        };
        words.push(word);
        within(cursor.at, limits)?;
    }
    Ok(Some(Command {
        words,
        length: cursor.at,
    }))
}

/// The reply at the start of `bytes`, if it is whole, and its length.
///
/// # Errors
/// The bytes are malformed or exceed a limit.
pub fn reply(bytes: &[u8], limits: &Limits) -> Parsed<(Reply, usize)> {
    let mut cursor = Cursor {
        bytes,
        at: 0,
        limits,
        left: limits.codec.max_arguments,
    };
    let reply = cursor.reply(0)?;
    within(
        if reply.is_some() {
            cursor.at
        } else {
            bytes.len()
        },
        limits,
    )?;
    Ok(reply.map(|reply| (reply, cursor.at)))
}

/// Where the value of a served answer begins in `bytes`, and how long it is, once that can be told.
pub fn value_head(bytes: &[u8]) -> Option<(usize, usize)> {
    let rest = bytes.strip_prefix(b"*3\r\n$")?;
    let end = rest.iter().take(10).position(|byte| *byte == b'\r')?;
    let digits = &rest[..end];
    if digits.is_empty()
        || rest.get(end + 1) != Some(&b'\n')
        || !digits.iter().all(u8::is_ascii_digit)
    {
        return None;
    }
    let length = digits
        .iter()
        .fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0'));
    Some((5 + end + 2, length))
}

/// Text appended to bytes.
pub struct Text<'a>(pub &'a mut Vec<u8>);

impl std::fmt::Write for Text<'_> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.extend_from_slice(text.as_bytes());
        Ok(())
    }
}

/// Appends the head of an array or bulk string: its type and length.
pub fn write_head(kind: char, length: usize, out: &mut Vec<u8>) {
    let _ = write!(Text(out), "{kind}{length}\r\n");
}

/// Appends a bulk string.
pub fn write_bulk(bytes: &[u8], out: &mut Vec<u8>) {
    write_head('$', bytes.len(), out);
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends a command.
pub fn write_command(words: &[&[u8]], out: &mut Vec<u8>) {
    write_head('*', words.len(), out);
    words.iter().for_each(|word| write_bulk(word, out));
}

/// Waits for more to read; `Ok(false)` at the end of the stream. Given up while it waits, it has taken nothing.
/// A read that does not fill the buffer spares the call that would only tell that there is no more.
///
/// # Errors
/// The bytes are malformed or exceed a limit.
pub async fn more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    step: usize,
) -> io::Result<bool> {
    buffer.reserve(step);
    Ok(stream.read_buf(buffer).await? > 0)
}

/// Takes the first bytes off a buffer, and lets go of the memory that a long message needed.
pub fn consume(buffer: &mut Vec<u8>, count: usize, keep: usize) {
    buffer.drain(..count);
    if buffer.is_empty() && buffer.capacity() > 2 * keep {
        *buffer = Vec::new();
    }
}
