//! First stage: opens a request from a frontend, or rejects it immediately if there is no capacity for it.

use super::admit;
use super::pipeline::Pipeline;
use crate::net::engine::{Answer, Frontend, ReplyTo, Request};
use crate::net::shutdown::Phase;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Why a request is rejected before the decision engine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RejectReason {
    /// Too many requests are open, or too much memory is reserved.
    NoCapacity,
    /// The process is shutting down, or drained by an operator.
    ShuttingDown,
}

/// Accepts a request. Rejects it immediately past the limits on open requests and memory, from
/// [`Phase::Rejecting`] on and past the answer deadline of a shutdown, and fails it if its id is still in use.
pub fn accept(
    pipeline: &Rc<Pipeline>,
    frontend: Rc<dyn Frontend>,
    sequence: u64,
    mut request: Request,
) {
    let arrived = Instant::now();
    let deadlines = pipeline.shutdown.deadlines();
    let remaining = deadlines.map(|at| at.answers.saturating_duration_since(arrived));
    if let Some(reason) = reject_reason(pipeline, &request, remaining) {
        tracing::debug!(
            request = format_args!("{:016x}", request.id.0),
            ?reason,
            "request rejected on arrival"
        );
        let retry_after = pipeline.limits.requests.capacity_retry_after.get();
        return frontend.answer(sequence, Answer::Rejected { retry_after });
    }
    // Requests are tracked by id, so a second request with an id that is still in use could not be told from the first.
    if pipeline.engine.contains_request(request.id) {
        return frontend.answer(sequence, Answer::Failed);
    }
    // SIGKILL must not find a request that was taken after SIGTERM still open.
    if let Some(remaining) = remaining {
        request.wait = request.wait.min(remaining);
    }
    let reply_to = ReplyTo { frontend, sequence };
    let deadline = pipeline
        .engine
        .open_request(reply_to, &mut request, arrived);
    admit::admit(pipeline, &request, deadline);
}

/// Returns why a request is rejected; `None` if it is accepted. `remaining` is the time until the answer deadline of a
/// shutdown.
fn reject_reason(
    pipeline: &Pipeline,
    request: &Request,
    remaining: Option<Duration>,
) -> Option<RejectReason> {
    let is_over = remaining == Some(Duration::ZERO);
    if is_over || pipeline.shutdown.phase() >= Phase::Rejecting {
        Some(RejectReason::ShuttingDown)
    } else if !has_capacity(pipeline, request) {
        Some(RejectReason::NoCapacity)
    } else {
        None
    }
}

/// Returns whether another request may be open. A request whose long command had to wait for its memory has passed the
/// limit on memory already.
fn has_capacity(pipeline: &Pipeline, request: &Request) -> bool {
    let has_waited = request.payload.bytes.len() > pipeline.limits.codec.read_chunk_bytes;
    pipeline.engine.has_capacity() && (pipeline.has_room_for_requests() || has_waited)
}
