//! Parser of the counter's answers.

use crate::api::Outcome;
use crate::net::config::Limits;
use crate::net::resp::codec::{self, ParsedReply, Reply};
use thiserror::Error;

/// The result of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallOutcome {
    /// The outcome as reported to the decision engine.
    pub outcome: Outcome,
    /// The total returned by a successful call, otherwise zero.
    pub total: f64,
}

impl CallOutcome {
    /// Returns the result of a call that did not return a total.
    pub(super) fn failed(outcome: Outcome) -> Self {
        CallOutcome {
            outcome,
            total: 0.0,
        }
    }
}

/// A complete answer at the start of the input.
#[derive(Debug)]
pub(super) struct CounterAnswer {
    /// The result of the call.
    pub outcome: CallOutcome,
    /// Length of the answer, in bytes.
    pub length: usize,
}

/// The received bytes are not a valid answer of the counter.
#[derive(Debug, Error)]
#[error("malformed answer from the counter")]
pub(super) struct MalformedAnswer;

/// Parses the answer at the start of `input`. Returns `None` where it is incomplete.
///
/// A rejection implies that nothing was added, so only the counter's own error codes (`BUSY` and `ERR`) are accepted as
/// one. Bytes that cannot become an answer are reported as malformed immediately.
///
/// # Errors
/// Returns an error if the bytes are not an answer. The amount of the call may have been added.
pub(super) fn parse_answer(
    input: &[u8],
    limits: &Limits,
) -> Result<Option<CounterAnswer>, MalformedAnswer> {
    if input.first().is_some_and(|first| !b"$-".contains(first)) {
        return Err(MalformedAnswer);
    }
    let reply = codec::parse_reply(input, limits).map_err(|_| MalformedAnswer)?;
    let Some(ParsedReply { reply, length }) = reply else {
        let is_too_long = input.len() > limits.counter.max_answer_bytes;
        return if is_too_long {
            Err(MalformedAnswer)
        } else {
            Ok(None)
        };
    };
    let outcome = match reply {
        Reply::Bulk(Some(range)) => parse_total(&input[range])?,
        Reply::Error(range) => parse_rejection(&input[range])?,
        _ => return Err(MalformedAnswer),
    };
    Ok(Some(CounterAnswer { outcome, length }))
}

fn parse_total(bytes: &[u8]) -> Result<CallOutcome, MalformedAnswer> {
    let text = std::str::from_utf8(bytes).map_err(|_| MalformedAnswer)?;
    let total: f64 = text.parse().map_err(|_| MalformedAnswer)?;
    if !total.is_finite() {
        return Err(MalformedAnswer);
    }
    Ok(CallOutcome {
        outcome: Outcome::Good,
        total,
    })
}

fn parse_rejection(line: &[u8]) -> Result<CallOutcome, MalformedAnswer> {
    match line.split(|byte| *byte == b' ').next() {
        Some(b"BUSY" | b"ERR") => Ok(CallOutcome::failed(Outcome::Rejected)),
        _ => Err(MalformedAnswer),
    }
}
