//! Parsing of replies, and of the header of a reply whose value is streamed.

use super::cursor::{complete, parse_digits, Cursor, Malformed, ParseError, LINE_END};
use crate::net::config::Limits;
use std::ops::Range;

/// Maximum nesting depth of arrays.
const MAX_DEPTH: usize = 4;

/// The first bytes of a served answer, up to the length of its value.
const VALUE_PREFIX: &[u8] = b"*3\r\n$";

/// Number of bytes within which the length of a value must end.
const VALUE_LENGTH_BYTES: usize = 10;

/// A complete reply. Texts are ranges of the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A simple string: `+...`.
    Simple(Range<usize>),
    /// An error: `-...`.
    Error(Range<usize>),
    /// An integer: `:...`.
    Integer(i64),
    /// A bulk string; `None` for null.
    Bulk(Option<Range<usize>>),
    /// An array; `None` for null.
    Array(Option<Vec<Reply>>),
}

/// A complete reply at the start of a buffer, and its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedReply {
    /// The reply, whose ranges refer to the buffer.
    pub reply: Reply,
    /// Length of the reply, in bytes.
    pub length: usize,
}

/// Parses the reply at the start of `bytes`; returns `None` while it is incomplete.
///
/// # Errors
/// The bytes are malformed or exceed a limit.
pub fn parse_reply(bytes: &[u8], limits: &Limits) -> Result<Option<ParsedReply>, Malformed> {
    let mut parser = ReplyParser {
        cursor: Cursor::new(bytes, limits),
        members_left: limits.codec.max_arguments,
    };
    let reply = complete(parser.reply(0))?;
    let Some(reply) = reply else {
        parser.cursor.check_received_length()?;
        return Ok(None);
    };
    parser.cursor.check_parsed_length()?;
    Ok(Some(ParsedReply {
        reply,
        length: parser.cursor.position(),
    }))
}

struct ReplyParser<'a> {
    cursor: Cursor<'a>,
    /// Number of members that all arrays together may still have. Bounds the allocation, since a few bytes can announce
    /// arrays of any size.
    members_left: usize,
}

impl ReplyParser<'_> {
    fn reply(&mut self, depth: usize) -> Result<Reply, ParseError> {
        match self.cursor.kind()? {
            b'+' => Ok(Reply::Simple(self.cursor.line()?)),
            b'-' => Ok(Reply::Error(self.cursor.line()?)),
            b':' => Ok(Reply::Integer(self.integer()?)),
            b'$' => Ok(Reply::Bulk(self.cursor.bulk()?)),
            b'*' if depth < MAX_DEPTH => Ok(Reply::Array(self.members(depth)?)),
            b'*' => Err(ParseError::malformed("arrays are nested too deeply")),
            _ => Err(ParseError::malformed("unknown type")),
        }
    }

    fn integer(&mut self) -> Result<i64, ParseError> {
        let line = self.cursor.line()?;
        let text = std::str::from_utf8(self.cursor.text(line)).ok();
        text.and_then(|text| text.parse().ok())
            .ok_or(ParseError::malformed("not an integer"))
    }

    /// Parses the members of an array; returns `None` for null.
    fn members(&mut self, depth: usize) -> Result<Option<Vec<Reply>>, ParseError> {
        let Some(count) = self.cursor.length(self.members_left)? else {
            return Ok(None);
        };
        self.members_left -= count;
        let mut members = Vec::with_capacity(count);
        for _ in 0..count {
            members.push(self.reply(depth + 1)?);
        }
        Ok(Some(members))
    }
}

/// The header of a served answer, up to its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueHead {
    /// Length of the header, in bytes.
    pub head_bytes: usize,
    /// Length of the value, in bytes.
    pub value_bytes: usize,
}

/// Parses the header of a served answer; returns `None` if it is incomplete or the bytes are no such header.
pub fn value_head(bytes: &[u8]) -> Option<ValueHead> {
    let remaining = bytes.strip_prefix(VALUE_PREFIX)?;
    let end = remaining
        .iter()
        .take(VALUE_LENGTH_BYTES)
        .position(|byte| *byte == b'\r')?;
    let digits = &remaining[..end];
    let is_length = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    if !is_length || remaining.get(end + 1) != Some(&b'\n') {
        return None;
    }
    Some(ValueHead {
        head_bytes: VALUE_PREFIX.len() + end + LINE_END.len(),
        value_bytes: parse_digits(digits),
    })
}
