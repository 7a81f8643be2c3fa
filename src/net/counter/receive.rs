//! Reading of answers from a connection to the counter.

use super::answer::{parse_answer, MalformedAnswer};
use super::call_queue::CallQueue;
use super::client::CounterClient;
use super::connection::CounterConnection;
use crate::net::resp::codec;
use crate::net::system_call::repeat_interrupted;
use thiserror::Error;
use tokio::time::Instant;

/// Maximum number of bytes read from a suspect connection before its answers are recorded.
const MAX_UNREAD_BYTES: usize = 256;

/// The reason why received bytes do not answer a call. The connection cannot be used any longer.
#[derive(Debug, Error)]
pub(super) enum AnswerError {
    /// The bytes are malformed. The amount of their call may have been added.
    #[error(transparent)]
    Malformed(#[from] MalformedAnswer),
    /// No call is waiting for the answer.
    #[error("answer from the counter without a pending call")]
    Unsolicited,
}

/// The result of [`record_unread_answers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnreadAnswers {
    /// Bytes were read, and the complete answers among them were recorded.
    Received,
    /// There were no bytes to read, or the read failed.
    None,
    /// Bytes were read that do not answer the calls of the connection.
    Malformed,
}

/// Records each complete answer received as that of the oldest unanswered call, and reports the calls that have ended.
///
/// # Errors
/// Returns an error if the received bytes do not answer the calls of the connection.
pub(super) fn record_answers(
    client: &CounterClient,
    queue: &CallQueue,
    connection: &mut CounterConnection,
) -> Result<(), AnswerError> {
    let recorded = record_complete_answers(client, queue, connection);
    queue.report(&client.engine);
    recorded
}

fn record_complete_answers(
    client: &CounterClient,
    queue: &CallQueue,
    connection: &mut CounterConnection,
) -> Result<(), AnswerError> {
    while let Some(answer) = parse_answer(&connection.input, &client.limits)? {
        codec::consume(
            &mut connection.input,
            answer.length,
            client.limits.codec.read_chunk_bytes,
        );
        connection.has_answered = true;
        queue.last_answered.set(Some(Instant::now()));
        let call = connection.unanswered.pop_front();
        let call = call.ok_or(AnswerError::Unsolicited)?;
        // A call that has already timed out keeps that outcome.
        queue.record_outcome(call.number, answer.outcome);
    }
    Ok(())
}

/// Records the answers that are still unread on a connection that seems silent. After the process was suspended, the
/// answers to all calls are unread.
pub(super) fn record_unread_answers(
    client: &CounterClient,
    queue: &CallQueue,
    connection: &mut CounterConnection,
) -> UnreadAnswers {
    let mut unread = [0; MAX_UNREAD_BYTES];
    match repeat_interrupted(|| connection.stream.try_read(&mut unread)) {
        Ok(count) if count > 0 => connection.input.extend_from_slice(&unread[..count]),
        _ => return UnreadAnswers::None,
    }
    match record_answers(client, queue, connection) {
        Ok(()) => UnreadAnswers::Received,
        Err(_) => UnreadAnswers::Malformed,
    }
}
