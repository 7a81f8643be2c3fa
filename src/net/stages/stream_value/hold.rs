//! Holding of a long value until it is complete, while further commands of its client wait behind it.
//!
//! If a host breaks off within a value that its client has begun to receive, the client's connection has to be closed, and
//! the commands behind the value get no answer. A held value fails like any other answer: the request is retried as its class
//! allows, and the connection stays open.

use super::{forward_value, LongValue, BUFFERS_PER_VALUE};
use crate::api::Outcome;
use crate::net::config::{Limits, StreamingLimits};
use crate::net::engine::{HostCall, HostCommand};
use crate::net::memory::{Owner, Reservation};
use crate::net::resp::upstream::UpstreamConnection;
use crate::net::stages::Pipeline;
use crate::net::streaming_body::StreamingBody;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// Interval at which spare memory is looked for.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns when a value whose head has just been received begins to be streamed, even if it is not complete.
pub(super) fn deadline(call: &HostCall, limits: &StreamingLimits) -> Instant {
    let now = Instant::now();
    let call_end = call.deadline.checked_sub(limits.hold_margin);
    call_end.unwrap_or(now).min(now + limits.max_hold)
}

/// Reserves the memory of a value that is held, and creates its body. Returns `None` if no command waits behind the value,
/// or if there is no spare memory until `deadline`.
pub(super) async fn reserve(
    pipeline: &Pipeline,
    call: &HostCall,
    value_bytes: usize,
    deadline: Instant,
) -> Option<Rc<StreamingBody>> {
    if !has_commands_behind(pipeline, call) {
        return None;
    }
    let window_bytes = pipeline.limits.streaming.window_bytes;
    // One of the buffers holds the value.
    let bytes = value_bytes + (BUFFERS_PER_VALUE - 1) * window_bytes;
    let reservation = spare_memory(pipeline, bytes, deadline).await;
    tracing::debug!(
        value_bytes,
        is_held = reservation.is_some(),
        "long value received before other commands"
    );
    reservation.map(|reservation| StreamingBody::whole(value_bytes, window_bytes, reservation))
}

fn has_commands_behind(pipeline: &Pipeline, call: &HostCall) -> bool {
    match call.command {
        HostCommand::Attempt { id, .. } => pipeline.engine.has_commands_behind(id),
        HostCommand::HealthCheck => false,
    }
}

/// Waits for spare memory until `deadline`. Values do not queue for it: a short answer would wait behind a long value.
async fn spare_memory(pipeline: &Pipeline, bytes: usize, deadline: Instant) -> Option<Reservation> {
    let memory = &pipeline.memory;
    loop {
        let reservation = memory.reserve_spare(Owner::StreamedValues, bytes);
        let can_wait = bytes <= memory.spare_capacity() && Instant::now() < deadline;
        if reservation.is_some() || !can_wait {
            return reservation;
        }
        sleep(MEMORY_POLL_INTERVAL).await;
    }
}

/// Receives a held value until it is complete or `deadline` has passed.
///
/// # Errors
/// The host has not sent the value as announced, or has paused for longer than within any answer that is buffered as a
/// whole.
pub(super) async fn receive(
    connection: &mut UpstreamConnection,
    value: &mut LongValue,
    deadline: Instant,
    limits: &Limits,
) -> Result<(), Outcome> {
    let stall_timeout = limits.upstream.answer_stall_timeout;
    let received = forward_value(connection, value, stall_timeout, limits);
    match timeout_at(deadline, received).await {
        Ok(received) => received,
        Err(_) => Ok(()),
    }
}
