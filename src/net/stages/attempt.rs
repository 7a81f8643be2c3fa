//! Fifth stage: writes a call to its host and reads the answer.

use super::call_end::CallEnd;
use super::complete;
use super::pipeline::Pipeline;
use super::stream_value::stream_value;
use crate::api::Outcome;
use crate::net::config::Limits;
use crate::net::engine::{HostCall, HostCommand};
use crate::net::resp::codec::{self, ParsedReply, ValueHead};
use crate::net::resp::upstream::{self, UpstreamConnection};
use crate::net::system_call::repeat_interrupted;
use std::io;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

#[cfg(test)]
mod tests;

/// The result of an exchange with a host.
enum Exchange {
    /// The call has ended.
    Ended(CallEnd),
    /// The head of a long value was received; the value itself remains to be streamed.
    LongValue(ValueHead),
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
            Exchange::LongValue(head) => {
                return stream_value(pipeline, connection, call, head).await;
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
    if pipeline
        .upstream
        .address(call.host, &pipeline.limits)
        .is_none()
    {
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
    let limits = &pipeline.limits;
    upstream::write_command(call, Instant::now(), &mut connection.output);
    let mut written = 0;
    while written < connection.output.len() {
        // After this time, a host may have forgotten an earlier attempt and would execute the request a second time.
        if Instant::now() >= call.send_by {
            return Err(Outcome::ConnectFailed);
        }
        if written == 0 {
            check_client(pipeline, call)?;
        }
        let unwritten = &connection.output[written..];
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
    codec::consume(
        &mut connection.output,
        written,
        limits.codec.read_chunk_bytes,
    );
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
        if let Some(exchanged) = parse_answer(pipeline, connection, call) {
            return exchanged;
        }
        if let Err(outcome) = read_more(connection, &pipeline.limits).await {
            return outcome.into();
        }
    }
}

/// Parses the bytes received so far; returns `None` while the answer is incomplete.
fn parse_answer(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
) -> Option<Exchange> {
    let limits = &pipeline.limits;
    if !upstream::may_become_reply(&connection.input, &call.command) {
        return Some(Outcome::Error.into());
    }
    if let Some(head) = codec::value_head(&connection.input) {
        if (limits.codec.max_value_bytes + 1..=limits.streaming.max_value_bytes)
            .contains(&head.value_bytes)
        {
            return Some(Exchange::LongValue(head));
        }
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
            codec::consume(&mut connection.input, length, limits.codec.read_chunk_bytes);
            Some(Exchange::Ended(CallEnd {
                result: interpretation.result,
                reusable,
            }))
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
