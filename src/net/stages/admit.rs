//! Second stage: passes the request to the decision engine, which decides on its admission.

use super::complete;
use super::pipeline::Pipeline;
use crate::api::{Event, RequestId};
use crate::net::engine::Request;
use crate::net::task::BoundTask;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// Passes a request to the engine, and fails it shortly before its deadline if it has no answer by then.
pub fn admit(pipeline: &Rc<Pipeline>, request: &Request, deadline: Instant) {
    let id = request.id;
    // The process may have been held up since the request arrived.
    let remaining = deadline.saturating_duration_since(Instant::now());
    pipeline.engine.handle(Event::Request {
        id,
        class: request.class,
        plan: request.plan,
        customer: request.customer,
        budget: remaining.as_nanos() as u64,
        units: request.units,
        spread: request.spread,
        first_limiter: request.first_limiter,
        flags: request.flags,
    });
    // After the engine has set its timers, which come first where both are due.
    fail_at_deadline(pipeline, id, deadline);
}

/// Fails a request shortly before its deadline if it is still open then: the engine may never answer it.
fn fail_at_deadline(pipeline: &Rc<Pipeline>, id: RequestId, deadline: Instant) {
    let fail_at = deadline
        .checked_sub(pipeline.limits.requests.deadline_margin)
        .unwrap_or(deadline);
    let timer_pipeline = pipeline.clone();
    let timer = BoundTask::spawn(async move {
        sleep_until(fail_at).await;
        complete::fail_if_open(&timer_pipeline, id);
    });
    pipeline.engine.bind_timer(id, timer);
}
