//! RESP2: an incremental parser for commands and replies, and a writer.
//!
//! Both parsers look at all bytes received so far. `Ok(None)` means that more have to come; malformed bytes can never
//! become a message, and what follows them on the connection cannot be parsed.

use crate::net::config::Limits;
use std::io;
use std::ops::Range;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Why bytes are no message. The text is sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// A complete command: the ranges of its arguments in the buffer, and its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The arguments; `None` for a null, which no sound command contains.
    pub arguments: Vec<Option<Range<usize>>>,
    /// Bytes that it takes up in the buffer.
    pub length: usize,
}

/// A complete reply; texts are ranges of the buffer.
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

/// The longest line (a length, a status or an error), in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// How deep arrays may nest.
const MAX_DEPTH: usize = 4;

struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
    limits: &'a Limits,
    /// How many members all arrays together may still have: a few bytes can announce a lot of memory.
    members_left: usize,
}

/// A complete reply at the start of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedReply {
    /// The reply.
    pub reply: Reply,
    /// Bytes that it takes up in the buffer.
    pub length: usize,
}

type Parsed<T> = Result<Option<T>, Malformed>;

impl Cursor<'_> {
    /// The next line, without its end.
    fn line(&mut self) -> Parsed<Range<usize>> {
        let remaining = &self.bytes[self.position..];
        let window = &remaining[..remaining.len().min(MAX_LINE_BYTES)];
        match window
            .iter()
            .position(|&byte| byte == b'\r' || byte == b'\n')
        {
            Some(end) if window[end] == b'\n' => {
                Err(Malformed("a line ends without a carriage return"))
            }
            Some(end) => match remaining.get(end + 1) {
                None => Ok(None),
                Some(b'\n') => {
                    let line = self.position..self.position + end;
                    self.position += end + 2;
                    Ok(Some(line))
                }
                Some(_) => Err(Malformed("a carriage return within a line")),
            },
            None if remaining.len() >= MAX_LINE_BYTES => Err(Malformed("a line is too long")),
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
        let length = plain.then(|| parse_digits(digits));
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
        let text = self.position..self.position + length;
        let end = &self.bytes[text.end.min(self.bytes.len())..];
        if end.first().is_some_and(|&byte| byte != b'\r')
            || end.get(1).is_some_and(|&byte| byte != b'\n')
        {
            return Err(Malformed("a bulk string does not end where it should"));
        }
        if end.len() < 2 {
            return Ok(None);
        }
        self.position = text.end + 2;
        Ok(Some(Some(text)))
    }

    fn kind(&mut self) -> Option<u8> {
        let kind = *self.bytes.get(self.position)?;
        self.position += 1;
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
            b'*' if depth < MAX_DEPTH => {
                let Some(count) = self.length(self.members_left)? else {
                    return Ok(None);
                };
                let Some(count) = count else {
                    return Ok(Some(Reply::Array(None)));
                };
                self.members_left -= count;
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

/// The number that decimal digits stand for.
fn parse_digits(digits: &[u8]) -> usize {
    digits
        .iter()
        .fold(0, |number, digit| number * 10 + usize::from(digit - b'0'))
}

fn check_length(length: usize, limits: &Limits) -> Result<(), Malformed> {
    if length > limits.codec.max_frame_bytes {
        return Err(Malformed("a message is too long"));
    }
    Ok(())
}

/// The command at the start of `bytes`; `None` where more bytes have to come.
///
/// # Errors
/// The bytes are malformed or exceed a limit.
pub fn parse_command(bytes: &[u8], limits: &Limits) -> Parsed<Command> {
    let mut cursor = Cursor {
        bytes,
        position: 0,
        limits,
        members_left: 0,
    };
    match cursor.kind() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(Malformed("a command is an array of bulk strings")),
    }
    let Some(count) = cursor.length(limits.codec.max_arguments)? else {
        return Ok(None);
    };
    let mut arguments = Vec::with_capacity(count.unwrap_or(0));
    for _ in 0..count.unwrap_or(0) {
        match cursor.kind() {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err(Malformed("a command is an array of bulk strings")),
        }
        let Some(argument) = cursor.bulk()? else {
            // The announced length counts too: a command that cannot fit is not waited for.
            return check_length(bytes.len(), limits).map(|()| None);
        };
        arguments.push(argument);
        check_length(cursor.position, limits)?;
    }
    Ok(Some(Command {
        arguments,
        length: cursor.position,
    }))
}

/// The reply at the start of `bytes`; `None` where more bytes have to come.
///
/// # Errors
/// The bytes are malformed or exceed a limit.
pub fn parse_reply(bytes: &[u8], limits: &Limits) -> Parsed<ParsedReply> {
    let mut cursor = Cursor {
        bytes,
        position: 0,
        limits,
        members_left: limits.codec.max_arguments,
    };
    let reply = cursor.reply(0)?;
    check_length(
        if reply.is_some() {
            cursor.position
        } else {
            bytes.len()
        },
        limits,
    )?;
    Ok(reply.map(|reply| ParsedReply {
        reply,
        length: cursor.position,
    }))
}

/// The head of a served answer up to its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueHead {
    /// Length of the head, in bytes.
    pub head_bytes: usize,
    /// Length of the value, in bytes.
    pub value_bytes: usize,
}

/// The head of a served answer, as soon as it has been received.
pub fn value_head(bytes: &[u8]) -> Option<ValueHead> {
    const PREFIX: &[u8] = b"*3\r\n$";
    const LINE_END: &[u8] = b"\r\n";
    let remaining = bytes.strip_prefix(PREFIX)?;
    let end = remaining.iter().take(10).position(|byte| *byte == b'\r')?;
    let digits = &remaining[..end];
    if digits.is_empty()
        || remaining.get(end + 1) != Some(&b'\n')
        || !digits.iter().all(u8::is_ascii_digit)
    {
        return None;
    }
    let value_bytes = parse_digits(digits);
    Some(ValueHead {
        head_bytes: PREFIX.len() + end + LINE_END.len(),
        value_bytes,
    })
}

/// Appends the head of an array or bulk string: its type and length.
pub fn write_head(kind: char, length: usize, output: &mut Vec<u8>) {
    output.extend_from_slice(format!("{kind}{length}\r\n").as_bytes());
}

/// Appends a bulk string.
pub fn write_bulk(bytes: &[u8], output: &mut Vec<u8>) {
    write_head('$', bytes.len(), output);
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}

/// Appends a command.
pub fn write_command(arguments: &[&[u8]], output: &mut Vec<u8>) {
    write_head('*', arguments.len(), output);
    for argument in arguments {
        write_bulk(argument, output);
    }
}

/// Waits for more bytes. Cancelled while it waits, it has read nothing. The buffer has at least `step` bytes of free
/// capacity, so that a read that does not fill it needs no further call.
///
/// # Errors
/// The connection has failed; [`io::ErrorKind::UnexpectedEof`] where the other side has closed it.
pub async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    step: usize,
) -> io::Result<()> {
    buffer.reserve(step);
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Removes the first bytes of a buffer, and releases the memory that a long message needed.
pub fn consume(buffer: &mut Vec<u8>, count: usize, keep: usize) {
    buffer.drain(..count);
    if buffer.is_empty() && buffer.capacity() > 2 * keep {
        *buffer = Vec::new();
    }
}
