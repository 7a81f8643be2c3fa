//! Reading the answers on a connection to the counter.

use super::answer::{parse_answer, MalformedAnswer};
use super::call_queue::CallQueue;
use super::client::CounterClient;
use super::connection::CounterConnection;
use crate::net::resp::codec;
use thiserror::Error;
use tokio::time::Instant;

/// How many unread bytes are read from a connection that seems silent.
const UNREAD_BYTES: usize = 256;

/// A connection carries bytes that answer none of its calls, and is of no more use.
#[derive(Debug, Error)]
pub(super) enum AnswerError {
    /// The bytes are malformed: their call may have been added.
    #[error(transparent)]
    Malformed(#[from] MalformedAnswer),
    /// No call waits for the answer.
    #[error("answer from the counter without a pending call")]
    Unsolicited,
}

/// The answers that lay unread on a connection that seemed silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnreadAnswers {
    /// Bytes were read, and their answers recorded.
    Received,
    /// Nothing lay there.
    None,
    /// Bytes were read that answer none of the connection's calls.
    Malformed,
}

/// Records the complete answers received, each as that of the oldest call without one, and reports the calls.
///
/// # Errors
/// The bytes received do not answer the calls of the connection.
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
        // A call that has timed out keeps that outcome.
        queue.record(call.number, answer.outcome);
    }
    Ok(())
}

/// Records the answers that lie unread on a connection that seems silent: after the process was suspended, all answers
/// lie there.
pub(super) fn record_unread_answers(
    client: &CounterClient,
    queue: &CallQueue,
    connection: &mut CounterConnection,
) -> UnreadAnswers {
    let mut unread = [0; UNREAD_BYTES];
    match connection.stream.try_read(&mut unread) {
        Ok(count) if count > 0 => connection.input.extend_from_slice(&unread[..count]),
        _ => return UnreadAnswers::None,
    }
    match record_answers(client, queue, connection) {
        Ok(()) => UnreadAnswers::Received,
        Err(_) => UnreadAnswers::Malformed,
    }
}
