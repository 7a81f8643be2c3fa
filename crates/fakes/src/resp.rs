//! Parses and encodes the RESP2 commands and replies that the fakes use. Message sizes are bounded. The parsers are
//! independent of the limiter's, so that each implementation checks the other.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[cfg(test)]
mod tests;

/// The length limit of an argument or value, in bytes.
const MAX_VALUE_BYTES: usize = 256 << 10;
/// The limit of buffered input, in bytes. It holds one message of the longest value.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_VALUE_BYTES;
const MAX_ARGUMENTS: i64 = 16;

/// A parsed message and its encoded length in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Parsed<T> {
    pub(crate) value: T,
    pub(crate) length: usize,
}

/// A line without its CRLF, and the position of the next one.
struct Line<'a> {
    text: &'a [u8],
    next: usize,
}

/// A reply to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// A bulk string.
    Bulk(String),
    /// A simple string or an error with its type byte: `+PONG`, `-BUSY 250`.
    Line(String),
}

fn malformed(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// Returns the line that begins at `start`, or `None` while its CRLF is missing.
fn line_at(bytes: &[u8], start: usize) -> Option<Line<'_>> {
    let length = bytes[start..].windows(2).position(|pair| pair == b"\r\n")?;
    Some(Line {
        text: &bytes[start..start + length],
        next: start + length + 2,
    })
}

fn parse_number(text: &[u8]) -> io::Result<i64> {
    std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| malformed("malformed RESP: length is not a number"))
}

/// Parses the command at the start of `bytes` into its arguments. Returns `None` while it is incomplete.
pub(crate) fn parse_command(bytes: &[u8]) -> io::Result<Option<Parsed<Vec<String>>>> {
    let Some(head) = line_at(bytes, 0) else {
        return Ok(None);
    };
    let Some(count) = head.text.strip_prefix(b"*") else {
        return Err(malformed("malformed RESP: command is not an array"));
    };
    let count = parse_number(count)?;
    if !(1..=MAX_ARGUMENTS).contains(&count) {
        return Err(malformed(
            "malformed RESP: command does not have 1 to 16 arguments",
        ));
    }
    let mut arguments = Vec::new();
    let mut position = head.next;
    for _ in 0..count {
        let Some(argument) = parse_argument(bytes, position)? else {
            return Ok(None);
        };
        arguments.push(argument.value);
        position += argument.length;
    }
    Ok(Some(Parsed {
        value: arguments,
        length: position,
    }))
}

/// Parses the argument (a bulk string) at `start`. Returns `None` while it is incomplete.
fn parse_argument(bytes: &[u8], start: usize) -> io::Result<Option<Parsed<String>>> {
    let Some(head) = line_at(bytes, start) else {
        return Ok(None);
    };
    let Some(length) = head.text.strip_prefix(b"$") else {
        return Err(malformed("malformed RESP: argument is not a bulk string"));
    };
    let length = usize::try_from(parse_number(length)?)
        .map_err(|_| malformed("malformed RESP: argument length is negative"))?;
    if length > MAX_VALUE_BYTES {
        return Err(malformed("malformed RESP: argument exceeds 256 KiB"));
    }
    Ok(bulk_text(bytes, start, &head, length))
}

/// Returns the text of the bulk string that starts at `start` with the line `head`, or `None` while it is incomplete.
fn bulk_text(bytes: &[u8], start: usize, head: &Line<'_>, length: usize) -> Option<Parsed<String>> {
    let end = head.next + length;
    if bytes.len() < end + 2 {
        return None;
    }
    Some(Parsed {
        value: String::from_utf8_lossy(&bytes[head.next..end]).into_owned(),
        length: end + 2 - start,
    })
}

/// Parses the reply at the start of `bytes`. Returns `None` while it is incomplete.
pub(crate) fn parse_reply(bytes: &[u8]) -> io::Result<Option<Parsed<Reply>>> {
    let Some(head) = line_at(bytes, 0) else {
        return Ok(None);
    };
    match head.text.split_first() {
        Some((b'$', length)) => {
            let length = usize::try_from(parse_number(length)?)
                .map_err(|_| malformed("malformed RESP: reply is null"))?;
            let bulk = bulk_text(bytes, 0, &head, length);
            Ok(bulk.map(|bulk| Parsed {
                value: Reply::Bulk(bulk.value),
                length: bulk.length,
            }))
        }
        Some((b'+' | b'-', _)) => Ok(Some(Parsed {
            value: Reply::Line(String::from_utf8_lossy(head.text).into_owned()),
            length: head.next,
        })),
        _ => Err(malformed("malformed RESP: unknown reply type")),
    }
}

/// Encodes a command as an array of bulk strings.
pub(crate) fn encode_command(arguments: &[&str]) -> Vec<u8> {
    let bulk_strings: Vec<String> = arguments
        .iter()
        .map(|argument| format!("${}\r\n{argument}\r\n", argument.len()))
        .collect();
    format!("*{}\r\n{}", arguments.len(), bulk_strings.concat()).into_bytes()
}

/// Reads more input. Returns `false` at the end of the connection.
pub(crate) async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    input: &mut Vec<u8>,
) -> io::Result<bool> {
    if input.len() > MAX_BUFFERED_BYTES {
        return Err(malformed(
            "malformed RESP: buffered message exceeds 512 KiB",
        ));
    }
    Ok(stream.read_buf(input).await? > 0)
}

/// The server's side of a connection that carries commands.
pub(crate) struct CommandStream {
    stream: TcpStream,
    input: Vec<u8>,
}

impl CommandStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        CommandStream {
            stream,
            input: Vec::new(),
        }
    }

    /// Reads the next command and returns its arguments, or `None` at the end of the connection.
    pub(crate) async fn next_command(&mut self) -> io::Result<Option<Vec<String>>> {
        loop {
            if let Some(command) = parse_command(&self.input)? {
                self.input.drain(..command.length);
                return Ok(Some(command.value));
            }
            if !read_more(&mut self.stream, &mut self.input).await? {
                return Ok(None);
            }
        }
    }

    /// Writes an answer that is already encoded.
    pub(crate) async fn write(&mut self, answer: &str) -> io::Result<()> {
        self.stream.write_all(answer.as_bytes()).await
    }

    /// Waits until the peer closes the connection. A byte that arrives first also ends the wait, since a limiter writes
    /// nothing after an attempt that is not answered yet.
    pub(crate) async fn closed(&self) {
        let mut byte = [0];
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut byte) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(_) | Err(_) => return,
            }
        }
    }
}
