//! A cursor over the received bytes that parses the elements of RESP2.

use crate::net::config::Limits;
use std::ops::Range;
use thiserror::Error;

/// Maximum length of a line (a length, a simple string or an error), in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// Maximum number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 9;

/// The bytes that end a line.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// The reason why bytes are not a valid message. For a command, the text is sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// The reason why there is no message at the start of the received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ParseError {
    /// The bytes are the start of a message whose end has not been received.
    Incomplete,
    /// The bytes can never become a message.
    Malformed(Malformed),
}

impl From<Malformed> for ParseError {
    fn from(malformed: Malformed) -> Self {
        ParseError::Malformed(malformed)
    }
}

impl ParseError {
    /// Returns the error for malformed bytes.
    pub(super) fn malformed(reason: &'static str) -> Self {
        ParseError::Malformed(Malformed(reason))
    }
}

/// Converts the result of a parser; returns `None` if the message is incomplete.
///
/// # Errors
/// The bytes are malformed.
pub(super) fn complete<T>(parsed: Result<T, ParseError>) -> Result<Option<T>, Malformed> {
    match parsed {
        Ok(message) => Ok(Some(message)),
        Err(ParseError::Incomplete) => Ok(None),
        Err(ParseError::Malformed(malformed)) => Err(malformed),
    }
}

/// A position in the received bytes. Parsing an element moves the position past it.
pub(super) struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
    limits: &'a Limits,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor at the start of `bytes`.
    pub(super) fn new(bytes: &'a [u8], limits: &'a Limits) -> Self {
        Cursor {
            bytes,
            position: 0,
            limits,
        }
    }

    /// Returns the number of bytes parsed so far.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Returns the bytes of a parsed element.
    pub(super) fn text(&self, range: Range<usize>) -> &'a [u8] {
        &self.bytes[range]
    }

    /// Parses the type byte of the next element.
    pub(super) fn kind(&mut self) -> Result<u8, ParseError> {
        let kind = *self
            .bytes
            .get(self.position)
            .ok_or(ParseError::Incomplete)?;
        self.position += 1;
        Ok(kind)
    }

    /// Parses the next line; the range excludes the line end.
    pub(super) fn line(&mut self) -> Result<Range<usize>, ParseError> {
        let remaining = &self.bytes[self.position..];
        let window = &remaining[..remaining.len().min(MAX_LINE_BYTES)];
        let end = window
            .iter()
            .position(|&byte| byte == b'\r' || byte == b'\n');
        let Some(end) = end else {
            return if remaining.len() >= MAX_LINE_BYTES {
                Err(ParseError::malformed("a line is too long"))
            } else {
                Err(ParseError::Incomplete)
            };
        };
        if window[end] == b'\n' {
            return Err(ParseError::malformed(
                "a line ends without a carriage return",
            ));
        }
        match remaining.get(end + 1) {
            None => Err(ParseError::Incomplete),
            Some(b'\n') => {
                let line = self.position..self.position + end;
                self.position += end + LINE_END.len();
                Ok(line)
            }
            Some(_) => Err(ParseError::malformed("a carriage return within a line")),
        }
    }

    /// Parses a length of at most `max_length`; returns `None` for null.
    pub(super) fn length(&mut self, max_length: usize) -> Result<Option<usize>, ParseError> {
        let line = self.line()?;
        let digits = &self.bytes[line];
        if digits == b"-1" {
            return Ok(None);
        }
        let is_length = !digits.is_empty()
            && digits.len() <= MAX_LENGTH_DIGITS
            && digits.iter().all(u8::is_ascii_digit);
        if !is_length {
            return Err(ParseError::malformed("not a length"));
        }
        let length = parse_digits(digits);
        if length > max_length {
            return Err(ParseError::malformed("too long"));
        }
        Ok(Some(length))
    }

    /// Parses a bulk string after its `$`; returns `None` for null.
    pub(super) fn bulk(&mut self) -> Result<Option<Range<usize>>, ParseError> {
        let Some(length) = self.length(self.limits.codec.max_value_bytes)? else {
            return Ok(None);
        };
        let text = self.position..self.position + length;
        let received = &self.bytes[text.end.min(self.bytes.len())..];
        let end = &received[..received.len().min(LINE_END.len())];
        if !LINE_END.starts_with(end) {
            return Err(ParseError::malformed(
                "a bulk string does not end where it should",
            ));
        }
        if end.len() < LINE_END.len() {
            return Err(ParseError::Incomplete);
        }
        self.position = text.end + LINE_END.len();
        Ok(Some(text))
    }

    /// Parses the header of a bulk string after its `$`, and moves past the string even if it has not been received;
    /// returns `None` for null.
    pub(super) fn announced_bulk(&mut self) -> Result<Option<Range<usize>>, ParseError> {
        let Some(length) = self.length(self.limits.codec.max_value_bytes)? else {
            return Ok(None);
        };
        let text = self.position..self.position + length;
        self.position = text.end + LINE_END.len();
        Ok(Some(text))
    }

    /// Checks that the bytes parsed so far do not exceed the maximum message length.
    pub(super) fn check_parsed_length(&self) -> Result<(), Malformed> {
        self.check_length(self.position)
    }

    /// Checks that the bytes received so far do not exceed the maximum message length.
    pub(super) fn check_received_length(&self) -> Result<(), Malformed> {
        self.check_length(self.bytes.len())
    }

    fn check_length(&self, length: usize) -> Result<(), Malformed> {
        if length > self.limits.codec.max_frame_bytes {
            return Err(Malformed("a message is too long"));
        }
        Ok(())
    }
}

/// Returns the value of ASCII decimal digits. The caller checks that they are digits and that the value fits.
pub(super) fn parse_digits(digits: &[u8]) -> usize {
    digits
        .iter()
        .fold(0, |number, digit| number * 10 + usize::from(digit - b'0'))
}
