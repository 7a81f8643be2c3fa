//! Fifth stage: a call is written to its host, and its answer awaited.

use super::complete::{self, Delivery};
use super::pipeline::Pipeline;
use crate::api::Outcome;
use crate::net::config::Limits;
use crate::net::engine::{CallResult, HostCall, HostCommand};
use crate::net::resp::{
    codec::{self, ParsedReply, ValueHead},
    upstream::{self, UpstreamConnection},
};
use crate::net::streaming_body::StreamingBody;
use std::io;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

#[cfg(test)]
mod tests;

/// How a call ended, and what that means for its connection.
pub struct CallEnd {
    /// How the call ended.
    pub result: CallResult,
    /// The connection can carry another call.
    pub reusable: bool,
}

impl From<Outcome> for CallEnd {
    /// The end of a call whose connection is of no more use.
    fn from(outcome: Outcome) -> Self {
        CallEnd {
            result: outcome.into(),
            reusable: false,
        }
    }
}

/// What an exchange with a host led to.
enum Exchange {
    /// The call has ended.
    Ended(CallEnd),
    /// The head of a long value was received; the value is streamed.
    LongValue(ValueHead),
}

impl From<Outcome> for Exchange {
    fn from(outcome: Outcome) -> Self {
        Exchange::Ended(outcome.into())
    }
}

/// Runs a call on a connection and records its usage. A call that is cancelled or timed out leaves its answer unread, so
/// its connection ends with it.
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
    // A host does not run a command that it has not received completely.
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
    match write_command(connection, call, &pipeline.limits).await {
        Ok(()) => read_answer(pipeline, connection, call).await,
        Err(outcome) => outcome.into(),
    }
}

/// Writes the whole command.
async fn write_command(
    connection: &mut UpstreamConnection,
    call: &HostCall,
    limits: &Limits,
) -> Result<(), Outcome> {
    upstream::write_command(call, Instant::now(), &mut connection.output);
    let mut written = 0;
    while written < connection.output.len() {
        // Later than this the hosts may have forgotten an earlier attempt, and a repeat would run twice.
        if Instant::now() >= call.send_by {
            return Err(Outcome::ConnectFailed);
        }
        match connection.stream.try_write(&connection.output[written..]) {
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

fn log_written(call: &HostCall) {
    if let HostCommand::Attempt { id, attempt, .. } = &call.command {
        tracing::debug!(
            request = format_args!("{:016x}", id.0),
            attempt,
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

/// What the bytes received so far are; `None` where more have to come.
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
            // Whatever follows the answer belongs to no call.
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

/// Reads more of an answer. One that has begun and pauses for long is malformed, and may have run; without this bound it
/// would be waited for until the request's deadline.
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

/// Streams a long value to the client; no deadline of the limiter's cuts it off. Its last byte is kept back until the
/// host has ended the value as it should, so that no client takes a malformed value for a complete one.
async fn stream_value(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
    head: ValueHead,
) -> CallEnd {
    let limits = &pipeline.limits;
    codec::consume(
        &mut connection.input,
        head.head_bytes,
        limits.streaming.window_bytes,
    );
    let body = StreamingBody::new(
        head.value_bytes,
        limits.streaming.window_bytes,
        pipeline.engine.buffered_bytes(),
    );
    if complete::begin_streaming(pipeline, call, &body) == Delivery::RequestClosed {
        return Outcome::Cancelled.into();
    }
    let streamed = forward_value(connection, &body, limits).await;
    match streamed {
        Ok(()) => {
            body.complete();
            read_trailer(connection, call, limits).await
        }
        Err(outcome) => {
            body.fail();
            outcome.into()
        }
    }
}

/// Reads what follows a streamed value: the figures on usage and the load report. The value is good whatever they are.
async fn read_trailer(
    connection: &mut UpstreamConnection,
    call: &HostCall,
    limits: &Limits,
) -> CallEnd {
    let mut result = CallResult::from(Outcome::Good);
    for is_usage in [true, false] {
        let Some(ParsedReply { reply, length }) = read_trailer_member(connection, limits).await
        else {
            return CallEnd {
                result,
                reusable: false,
            };
        };
        if is_usage {
            result.used = upstream::usage_figures(&reply, &connection.input, call.host);
        }
        codec::consume(&mut connection.input, length, limits.codec.read_chunk_bytes);
    }
    CallEnd {
        result,
        reusable: connection.input.is_empty(),
    }
}

/// The next member behind a streamed value; `None` where it is malformed or does not arrive in time.
async fn read_trailer_member(
    connection: &mut UpstreamConnection,
    limits: &Limits,
) -> Option<ParsedReply> {
    loop {
        if let Some(member) = codec::parse_reply(&connection.input, limits).ok()? {
            return Some(member);
        }
        let more = codec::read_more(
            &mut connection.stream,
            &mut connection.input,
            limits.codec.read_chunk_bytes,
        );
        if !matches!(
            timeout(limits.upstream.answer_stall_timeout, more).await,
            Ok(Ok(()))
        ) {
            return None;
        }
    }
}

/// Moves a value from its host into the body, to its end.
async fn forward_value(
    connection: &mut UpstreamConnection,
    body: &StreamingBody,
    limits: &Limits,
) -> Result<(), Outcome> {
    let mut remaining = body.length();
    loop {
        if body.is_abandoned() {
            return Err(Outcome::Cancelled);
        }
        // The last byte stays behind until the end of the value has been seen.
        let count = body
            .free_capacity()
            .min(connection.input.len())
            .min(remaining - 1);
        if count > 0 {
            body.write(&connection.input[..count]);
            connection.input.drain(..count);
            remaining -= count;
        }
        if remaining == 1 && connection.input.len() >= 3 && body.free_capacity() > 0 {
            return forward_last_byte(connection, body, limits);
        }
        if body.free_capacity() == 0 {
            body.drained().await;
            continue;
        }
        let more = codec::read_more(
            &mut connection.stream,
            &mut connection.input,
            limits.streaming.window_bytes / 2,
        );
        tokio::select! {
            more = timeout(limits.streaming.stall_timeout, more) => {
                if !matches!(more, Ok(Ok(()))) {
                    return Err(Outcome::Reset);
                }
            }
            () = body.drained() => {}
        }
    }
}

fn forward_last_byte(
    connection: &mut UpstreamConnection,
    body: &StreamingBody,
    limits: &Limits,
) -> Result<(), Outcome> {
    if &connection.input[1..3] != b"\r\n" {
        return Err(Outcome::Error);
    }
    body.write(&connection.input[..1]);
    codec::consume(&mut connection.input, 3, limits.codec.read_chunk_bytes);
    Ok(())
}
