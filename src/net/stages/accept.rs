//! First stage: a request from a frontend is opened, or answered at once where there is no capacity for it.

use super::admit;
use super::pipeline::Pipeline;
use crate::net::engine::{Answer, Frontend, ReplyTo, Request};
use crate::net::shutdown::Phase;
use std::rc::Rc;
use tokio::time::Instant;

/// Accepts a request. Past the limits on open requests and buffered bytes it is rejected at once.
pub fn accept(
    pipeline: &Rc<Pipeline>,
    frontend: Rc<dyn Frontend>,
    place: u64,
    mut request: Request,
) {
    let arrived = Instant::now();
    if !pipeline.engine.has_capacity() || pipeline.shutdown.phase() >= Phase::Rejecting {
        let retry_after = pipeline.limits.requests.capacity_retry_after.get();
        return frontend.answer(place, Answer::Rejected { retry_after });
    }
    // An id that is still in use would make two requests one.
    if pipeline.engine.contains_request(request.id) {
        return frontend.answer(place, Answer::Failed);
    }
    // No request may still be open when the process has to be gone.
    if let Some(final_answer_deadline) = pipeline.shutdown.final_answer_deadline(&pipeline.limits) {
        let remaining = final_answer_deadline.saturating_duration_since(arrived);
        request.wait = request.wait.min(remaining);
    }
    let reply_to = ReplyTo { frontend, place };
    let deadline = pipeline
        .engine
        .open_request(reply_to, &mut request, arrived);
    admit::admit(pipeline, &request, deadline);
}
