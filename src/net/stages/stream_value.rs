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
use tokio::time::timeout;

/// The bytes that terminate a value.
const LINE_END: &[u8] = b"\r\n";

/// Number of buffers of the window's size that a value takes: the input of the host's connection, the body, and the output
/// of the client's connection.
const BUFFERS_PER_VALUE: usize = 3;

/// Length in bytes of the last byte of a value and the line end after it.
const VALUE_END_BYTES: usize = 1 + LINE_END.len();

/// A long value whose header has been received.
pub(super) struct LongValue {
    /// The header.
    pub(super) head: ValueHead,
    /// The memory of its buffers.
    pub(super) window: Reservation,
}

/// Streams a long value to the client, without a deadline. The last byte is withheld until the host has terminated the
/// value correctly, so that no client takes a malformed value for a complete one.
pub(super) async fn stream_value(
    pipeline: &Pipeline,
    connection: &mut UpstreamConnection,
    call: &HostCall,
    LongValue { head, window }: LongValue,
) -> CallEnd {
    let limits = &pipeline.limits;
    codec::consume(
        &mut connection.input,
        head.head_bytes,
        limits.streaming.window_bytes,
    );
    let capacity = window.bytes() / BUFFERS_PER_VALUE;
    let body = StreamingBody::new(head.value_bytes, capacity, window);
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

/// Reserves memory for the window of a value: for the largest one for which there is spare memory, or for the smallest one
/// as soon as there is memory for it.
pub(super) async fn reserve_window(pipeline: &Pipeline) -> Reservation {
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

/// Forwards a value from its host into the body until the value is complete.
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
        // The last byte is withheld until the line end after it has been received.
        remaining -= forward_received(connection, body, remaining - 1);
        let is_end_received = connection.input.len() >= VALUE_END_BYTES;
        if remaining == 1 && is_end_received && body.free_capacity() > 0 {
            return forward_last_byte(connection, body, limits);
        }
        if body.free_capacity() == 0 {
            body.drained().await;
        } else {
            receive_more(connection, body, limits).await?;
        }
    }
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
    limits: &Limits,
) -> Result<(), Outcome> {
    let more = codec::read_more(
        &mut connection.stream,
        &mut connection.input,
        body.capacity() / 2,
    );
    tokio::select! {
        received = timeout(limits.streaming.stall_timeout, more) => match received {
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
