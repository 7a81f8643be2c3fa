//! Fifth stage: writes a call to its host and reads the answer.

use super::call_end::CallEnd;
use super::complete;
use super::pipeline::Pipeline;
use super::stream_value::{receive_value, stream_value, LongValue};
use crate::api::Outcome;
use crate::net::config::Limits;
use crate::net::engine::{HostCall, HostCommand};
use crate::net::memory::Owner;
use crate::net::resp::codec::{self, ParsedReply, ValueHead};
use crate::net::resp::upstream::{self, UpstreamConnection};
use crate::net::system_call::repeat_interrupted;
use std::io;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

#[cfg(test)]
mod tests;

/// Maximum length of what follows a long value in an answer for which no further memory is needed: the line end, the
/// usage figures and the load report.
const MAX_TRAILER_BYTES: usize = 1 << 10;

/// The result of an exchange with a host.
enum Exchange {
    /// The call has ended.
    Ended(CallEnd),
    /// The head of a long value was received; the rest of the value remains to be streamed.
    LongValue(LongValue),
}

impl From<Outcome> for Exchange {
    fn from(outcome: Outcome) -> Self {
        Exchange::Ended(outcome.into())
    }
}

/// Runs a call on a connection and records its usage. A cancelled or timed-out call leaves its answer unread, so its
/// connection cannot be reused.
pub async fn run(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
) -> CallEnd {
    let (Some(usage_recorder), HostCommand::Attempt { charge, .. }) =
        (pipeline.usage_recorder(), &call.command)
    else {
        return run_unrecorded(pipeline, connection, call).await;
    };
    let attempt = usage_recorder.start_attempt(charge.customer.0, charge.units);
    let end = run_unrecorded(pipeline, connection, call).await;
    usage_recorder.end_attempt(attempt, &end.result, connection.command_sent, charge.units);
    end
}

async fn run_unrecorded(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
) -> CallEnd {
    connection.command_sent = false;
    let outcome = tokio::select! {
        biased;
        () = call.cancellation.requested.notified() => Outcome::Cancelled,
        exchanged = exchange(pipeline, connection, call) => match exchanged {
            Exchange::Ended(end) => return end,
            Exchange::LongValue(value) => {
                return stream_value(pipeline, connection, call, value).await;
            }
        },
        () = sleep_until(call.deadline) => Outcome::Timeout,
    };
    // A host does not execute a command that it has not received completely.
    if outcome == Outcome::Timeout && !connection.command_sent {
        Outcome::ConnectFailed.into()
    } else {
        outcome.into()
    }
}

async fn exchange(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
) -> Exchange {
    let process = pipeline.upstream.process(call.host, &pipeline.limits);
    if process != Some(connection.peer) {
        return Outcome::ConnectFailed.into();
    }
    match write_command(pipeline, connection, call).await {
        Ok(()) => read_answer(pipeline, connection, call).await,
        Err(outcome) => outcome.into(),
    }
}

/// Writes the whole command; returns the outcome of the call if that fails.
async fn write_command(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
) -> Result<(), Outcome> {
    let chunk_bytes = pipeline.limits.codec.read_chunk_bytes;
    let output = &mut connection.output;
    let rest = upstream::write_command(call, Instant::now(), chunk_bytes, output);
    let mut written = 0;
    let length = connection.output.len() + rest.len();
    while written < length {
        // After this time, a host may have forgotten an earlier attempt and would execute the request a second time.
        if Instant::now() >= call.send_by {
            return Err(Outcome::ConnectFailed);
        }
        if written == 0 {
            check_client(pipeline, call)?;
        }
        let unwritten = match written.checked_sub(connection.output.len()) {
            Some(written_of_rest) => &rest[written_of_rest..],
            None => &connection.output[written..],
        };
        match repeat_interrupted(|| connection.stream.try_write(unwritten)) {
            Ok(count) => written += count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                let writable = timeout_at(call.send_by, connection.stream.writable()).await;
                if !matches!(writable, Ok(Ok(()))) {
                    return Err(Outcome::ConnectFailed);
                }
            }
            Err(_) => return Err(Outcome::ConnectFailed),
        }
    }
    connection.command_sent = true;
    call.cancellation.sent.set(true);
    log_written(call);
    let output_length = connection.output.len();
    codec::consume(&mut connection.output, output_length, chunk_bytes);
    Ok(())
}

/// Checks that the client of an attempt has not left. The process may have been held up since it last read from the
/// client, so the kernel is asked just before the first byte is written. A request whose client has left is abandoned.
fn check_client(pipeline: &Pipeline, call: &HostCall) -> Result<(), Outcome> {
    match call.command {
        HostCommand::Attempt { id, .. } if !pipeline.engine.has_client(id) => {
            complete::abandon(pipeline, id);
            Err(Outcome::Cancelled)
        }
        HostCommand::Attempt { .. } | HostCommand::HealthCheck => Ok(()),
    }
}

fn log_written(call: &HostCall) {
    if let HostCommand::Attempt { id, attempt, .. } = &call.command {
        tracing::debug!(
            request = format_args!("{:016x}", id.0),
            attempt = attempt.0,
            host = call.host.0,
            elapsed = ?call.started_at.elapsed(),
            "attempt written"
        );
    }
}

async fn read_answer(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
) -> Exchange {
    loop {
        if let Some(head) = long_value_head(pipeline, connection) {
            return match receive_value(pipeline, connection, call, head).await {
                Ok(value) => Exchange::LongValue(value),
                Err(outcome) => outcome.into(),
            };
        }
        if let Some(end) = parse_answer(pipeline, connection, call) {
            return Exchange::Ended(end);
        }
        reserve_answer(pipeline, connection).await;
        if let Err(outcome) = read_more(connection, &pipeline.limits).await {
            return outcome.into();
        }
    }
}

/// Returns the header of a value that is too long to be buffered, once it has been received.
fn long_value_head(pipeline: &Pipeline, connection: &UpstreamConnection) -> Option<ValueHead> {
    let limits = &pipeline.limits;
    let lengths = limits.codec.max_value_bytes + 1..=limits.streaming.max_value_bytes;
    let head = codec::value_head(&connection.input)?;
    lengths.contains(&head.value_bytes).then_some(head)
}

/// Reserves memory for the whole answer if it is long. Until the memory is free, the rest of the answer is left unread.
async fn reserve_answer(pipeline: &Pipeline, connection: &mut UpstreamConnection) {
    let limits = &pipeline.limits;
    let input = &mut connection.input;
    let bytes = match codec::value_head(input) {
        Some(head) if head.value_bytes > limits.memory.max_short_value_bytes => {
            head.head_bytes + head.value_bytes + MAX_TRAILER_BYTES
        }
        // A short value, or an answer of another form, that does not fit into the buffer that each connection has.
        _ if input.len() >= limits.codec.read_chunk_bytes => {
            limits.codec.max_frame_bytes + limits.codec.read_chunk_bytes
        }
        _ => return,
    };
    if connection.input_reservation.is_none() {
        let reservation = pipeline.memory.request(Owner::HostAnswers, bytes);
        connection.input_reservation = Some(reservation.wait().await);
        input.reserve_exact(bytes.saturating_sub(input.len()));
    }
    if let Some(reservation) = &mut connection.input_reservation {
        reservation.resize(connection.input.capacity());
    }
}

/// Parses the bytes received so far; returns `None` while the answer is incomplete.
fn parse_answer(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
) -> Option<CallEnd> {
    let limits = &pipeline.limits;
    if !upstream::may_become_reply(&connection.input, &call.command) {
        return Some(Outcome::Error.into());
    }
    match codec::parse_reply(&connection.input, limits) {
        Ok(Some(ParsedReply { reply, length })) => {
            let interpretation = upstream::interpret(
                &reply,
                &connection.input,
                &call.command,
                call.host,
                pipeline.upstream.report_source(),
            );
            // Bytes after the answer belong to no call, so the connection cannot be reused.
            let reusable = interpretation.is_known_form && length == connection.input.len();
            let mut result = interpretation.result;
            result.value = connection.take_value(interpretation.value, length, limits);
            Some(CallEnd { result, reusable })
        }
        Ok(None) => None,
        Err(_) => Some(Outcome::Error.into()),
    }
}

/// Reads more of an answer. A partial answer that stalls past `answer_stall_timeout` counts as malformed, and its
/// attempt may have run; without this timeout, the call would last until the request's deadline.
async fn read_more(connection: &mut UpstreamConnection, limits: &Limits) -> Result<(), Outcome> {
    let has_begun = !connection.input.is_empty();
    let more = codec::read_more(
        &mut connection.stream,
        &mut connection.input,
        limits.codec.read_chunk_bytes,
    );
    let more = if has_begun {
        timeout(limits.upstream.answer_stall_timeout, more).await
    } else {
        Ok(more.await)
    };
    match more {
        Ok(Ok(())) => Ok(()),
        Ok(_) => Err(Outcome::Reset),
        Err(_) => Err(Outcome::Error),
    }
}
