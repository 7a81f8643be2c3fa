//! Streaming of a long value from a host to the client.

use super::call_end::CallEnd;
use super::complete::{self, Delivery};
use super::pipeline::Pipeline;
use crate::api::Outcome;
use crate::net::config::Limits;
use crate::net::engine::{CallResult, HostCall};
use crate::net::memory::{Owner, Reservation};
use crate::net::resp::codec::{self, ParsedReply, ValueHead};
use crate::net::resp::upstream::{self, UpstreamConnection};
use crate::net::streaming_body::StreamingBody;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

mod hold;
#[cfg(test)]
mod tests;

/// The bytes that terminate a value.
const LINE_END: &[u8] = b"\r\n";

/// Number of buffers of the window's size that a value takes: the input of the host's connection, the body, and the output
/// of the client's connection.
const BUFFERS_PER_VALUE: usize = 3;

/// Length in bytes of the last byte of a value and the line end after it.
const VALUE_END_BYTES: usize = 1 + LINE_END.len();

/// A long value whose header has been received.
pub(super) struct LongValue {
    /// The bytes that have been received and not taken by the client.
    body: Rc<StreamingBody>,
    /// Number of bytes of the value that have not been moved into the body.
    remaining: usize,
}

/// Receives as much of a long value as its client must not see yet: all of it while further commands of the client wait
/// behind the value, as long as [`hold`] allows, and otherwise nothing.
///
/// # Errors
/// The host has not sent the value as announced. The client has seen nothing of it, so that the request may be retried.
pub(super) async fn receive_value(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
    head: ValueHead,
) -> Result<LongValue, Outcome> {
    let limits = &pipeline.limits;
    codec::consume(
        &mut connection.input,
        head.head_bytes,
        limits.streaming.window_bytes,
    );
    let value = |body| LongValue {
        body,
        remaining: head.value_bytes,
    };
    let hold_until = hold::deadline(call, &limits.streaming);
    if let Some(body) = hold::reserve(pipeline, call, head.value_bytes, hold_until).await {
        let mut value = value(body);
        hold::receive(connection, &mut value, hold_until, limits).await?;
        return Ok(value);
    }
    let window = reserve_window(pipeline).await;
    let window_bytes = window.bytes() / BUFFERS_PER_VALUE;
    Ok(value(StreamingBody::new(
        head.value_bytes,
        window_bytes,
        window,
    )))
}

/// Streams the rest of a long value to the client, without a deadline. The last byte is withheld until the host has
/// terminated the value correctly, so that no client takes a malformed value for a complete one.
pub(super) async fn stream_value(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
    mut value: LongValue,
) -> CallEnd {
    let limits = &pipeline.limits;
    let body = value.body.clone();
    if complete::begin_streaming(pipeline, call, &body) == Delivery::RequestClosed {
        return Outcome::Cancelled.into();
    }
    let stall_timeout = limits.streaming.stall_timeout;
    match forward_value(connection, &mut value, stall_timeout, limits).await {
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

/// Reserves memory for the window of a value: for the largest one for which there is spare memory, or for the smallest one
/// as soon as there is memory for it.
async fn reserve_window(pipeline: &Pipeline) -> Reservation {
    let limits = &pipeline.limits.streaming;
    let memory = &pipeline.memory;
    let mut window_bytes = limits.window_bytes;
    while window_bytes > limits.min_window_bytes {
        let bytes = BUFFERS_PER_VALUE * window_bytes;
        if let Some(reservation) = memory.reserve_spare(Owner::StreamedValues, bytes) {
            return reservation;
        }
        window_bytes /= 2;
    }
    let bytes = BUFFERS_PER_VALUE * limits.min_window_bytes;
    memory.request(Owner::StreamedValues, bytes).wait().await
}

/// Reads the elements after a streamed value: the usage figures, and the load report, which is discarded. The call is
/// good even if they are malformed.
async fn read_trailer(
    connection: &mut UpstreamConnection,
    call: &HostCall,
    limits: &Limits,
) -> CallEnd {
    let mut result = CallResult::from(Outcome::Good);
    let Some(usage) = read_trailer_element(connection, limits).await else {
        return CallEnd::not_reusable(result);
    };
    result.usage = upstream::usage_figures(&usage.reply, &connection.input, call.host);
    consume(connection, usage.length, limits);
    let Some(load_report) = read_trailer_element(connection, limits).await else {
        return CallEnd::not_reusable(result);
    };
    consume(connection, load_report.length, limits);
    CallEnd {
        result,
        reusable: connection.input.is_empty(),
    }
}

fn consume(connection: &mut UpstreamConnection, count: usize, limits: &Limits) {
    codec::consume(&mut connection.input, count, limits.codec.read_chunk_bytes);
}

/// Reads the next element after a streamed value, without consuming it; returns `None` if it is malformed or does not
/// arrive in time.
async fn read_trailer_element(
    connection: &mut UpstreamConnection,
    limits: &Limits,
) -> Option<ParsedReply> {
    loop {
        if let Some(element) = codec::parse_reply(&connection.input, limits).ok()? {
            return Some(element);
        }
        let more = codec::read_more(
            &mut connection.stream,
            &mut connection.input,
            limits.codec.read_chunk_bytes,
        );
        let received = timeout(limits.upstream.answer_stall_timeout, more).await;
        received.ok()?.ok()?;
    }
}

/// Forwards the rest of a value from its host into the body until the value is complete. Cancel-safe: a call after a
/// cancelled one goes on where that one ended. `stall_timeout` is the longest pause that the host may make.
async fn forward_value(
    connection: &mut UpstreamConnection,
    value: &mut LongValue,
    stall_timeout: Duration,
    limits: &Limits,
) -> Result<(), Outcome> {
    let body = value.body.clone();
    while value.remaining > 0 {
        if body.is_abandoned() {
            return Err(Outcome::Cancelled);
        }
        // The last byte is withheld until the line end after it has been received.
        value.remaining -= forward_received(connection, &body, value.remaining - 1);
        let is_end_received = connection.input.len() >= VALUE_END_BYTES;
        if value.remaining == 1 && is_end_received && body.free_capacity() > 0 {
            forward_last_byte(connection, &body, limits)?;
            value.remaining = 0;
        } else if body.free_capacity() == 0 {
            body.drained().await;
        } else {
            receive_more(connection, &body, stall_timeout).await?;
        }
    }
    Ok(())
}

/// Moves up to `max_count` received bytes into the body, as far as it has capacity, and returns their number.
fn forward_received(
    connection: &mut UpstreamConnection,
    body: &StreamingBody,
    max_count: usize,
) -> usize {
    let count = body
        .free_capacity()
        .min(connection.input.len())
        .min(max_count);
    if count > 0 {
        body.write(&connection.input[..count]);
        connection.input.drain(..count);
    }
    count
}

/// Waits until more of the value is received, or the client has read some of it or disconnected.
async fn receive_more(
    connection: &mut UpstreamConnection,
    body: &StreamingBody,
    stall_timeout: Duration,
) -> Result<(), Outcome> {
    let more = codec::read_more(
        &mut connection.stream,
        &mut connection.input,
        body.window_bytes() / 2,
    );
    tokio::select! {
        received = timeout(stall_timeout, more) => match received {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Outcome::Reset),
        },
        () = body.drained() => Ok(()),
    }
}

fn forward_last_byte(
    connection: &mut UpstreamConnection,
    body: &StreamingBody,
    limits: &Limits,
) -> Result<(), Outcome> {
    if !connection.input[1..].starts_with(LINE_END) {
        return Err(Outcome::Error);
    }
    body.write(&connection.input[..1]);
    consume(connection, VALUE_END_BYTES, limits);
    Ok(())
}
