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

fn expect_kind(cursor: &mut Cursor<'_>, expected: u8) -> Result<(), ParseError> {
    if cursor.kind()? == expected {
        Ok(())
    } else {
        Err(ParseError::malformed(NOT_BULK_STRINGS))
    }
}
