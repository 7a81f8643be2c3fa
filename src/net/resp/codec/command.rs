//! Commands: arrays of bulk strings.

use super::cursor::{complete, Cursor, Malformed, ParseError};
use crate::net::config::Limits;
use std::ops::Range;

const NOT_BULK_STRINGS: &str = "a command is an array of bulk strings";

/// A complete command: the ranges of its arguments in the buffer, and its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The arguments; `None` for a null, which no sound command contains.
    pub arguments: Vec<Option<Range<usize>>>,
    /// Bytes that it takes up in the buffer.
    pub length: usize,
}

/// Parses the command at the start of `bytes`; `None` where it is incomplete.
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
            // A command that exceeds the longest message already is not waited for.
            cursor.check_received_length()?;
        }
        arguments.push(argument?);
        cursor.check_parsed_length()?;
    }
    Ok(arguments)
}

fn expect_kind(cursor: &mut Cursor<'_>, expected: u8) -> Result<(), ParseError> {
    if cursor.kind()? == expected {
        Ok(())
    } else {
        Err(ParseError::malformed(NOT_BULK_STRINGS))
    }
}
