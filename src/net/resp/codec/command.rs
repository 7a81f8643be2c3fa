//! Parsing of commands, which are arrays of bulk strings.

use super::cursor::{complete, Cursor, Malformed, ParseError};
use crate::net::config::Limits;
use std::ops::Range;

const NOT_BULK_STRINGS: &str = "a command is an array of bulk strings";

/// A complete command at the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The ranges of the arguments in the buffer; `None` for a null, which no valid command contains.
    pub arguments: Vec<Option<Range<usize>>>,
    /// Length of the command, in bytes.
    pub length: usize,
}

/// Parses the command at the start of `bytes`; returns `None` while it is incomplete.
///
/// # Errors
/// The bytes are malformed or exceed a limit.
pub fn parse_command(bytes: &[u8], limits: &Limits) -> Result<Option<Command>, Malformed> {
    let mut cursor = Cursor::new(bytes, limits);
    let arguments = complete(arguments(&mut cursor, limits.codec.max_arguments))?;
    Ok(arguments.map(|arguments| Command {
        arguments,
        length: cursor.position(),
    }))
}

fn arguments(
    cursor: &mut Cursor<'_>,
    max_arguments: usize,
) -> Result<Vec<Option<Range<usize>>>, ParseError> {
    expect_kind(cursor, b'*')?;
    let count = cursor.length(max_arguments)?.unwrap_or(0);
    let mut arguments = Vec::with_capacity(count);
    for _ in 0..count {
        expect_kind(cursor, b'$')?;
        let argument = cursor.bulk();
        if argument == Err(ParseError::Incomplete) {
            // A command that already exceeds the maximum message length is rejected without waiting for the rest.
            cursor.check_received_length()?;
        }
        arguments.push(argument?);
        cursor.check_parsed_length()?;
    }
    Ok(arguments)
}

/// Minimum length of an argument: a null, which takes fewer bytes than an empty bulk string.
const MIN_ARGUMENT_BYTES: usize = b"$-1\r\n".len();

/// The received start of a command, and what it tells about the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedCommand {
    /// The number of bytes that the whole command has at least.
    pub min_bytes: usize,
    /// Whether the command has exactly so many bytes, since the length of its last argument is known.
    pub is_exact: bool,
    /// The ranges of the arguments that have been received completely.
    pub arguments: Vec<Range<usize>>,
}

/// Parses the start of an incomplete command; returns `None` if `bytes` do not contain the number of its arguments.
pub fn announced_command(bytes: &[u8], limits: &Limits) -> Option<AnnouncedCommand> {
    let mut cursor = Cursor::new(bytes, limits);
    expect_kind(&mut cursor, b'*').ok()?;
    let count = cursor.length(limits.codec.max_arguments).ok()??;
    let mut announced = AnnouncedCommand {
        min_bytes: 0,
        is_exact: false,
        arguments: Vec::new(),
    };
    for remaining in (0..count).rev() {
        announced.min_bytes = cursor.position() + (remaining + 1) * MIN_ARGUMENT_BYTES;
        let header = expect_kind(&mut cursor, b'$').and_then(|()| cursor.announced_bulk());
        let Ok(argument) = header else {
            break;
        };
        announced.min_bytes = cursor.position() + remaining * MIN_ARGUMENT_BYTES;
        announced.is_exact = remaining == 0;
        if cursor.position() > bytes.len() {
            break;
        }
        announced.arguments.extend(argument);
    }
    Some(announced)
}

fn expect_kind(cursor: &mut Cursor<'_>, expected: u8) -> Result<(), ParseError> {
    if cursor.kind()? == expected {
        Ok(())
    } else {
        Err(ParseError::malformed(NOT_BULK_STRINGS))
    }
}
