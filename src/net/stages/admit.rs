//! Second stage: passes the request to the decision engine, which decides on its admission.

use super::complete;
use super::pipeline::Pipeline;
use crate::api::Event;
use crate::net::engine::Request;
use crate::net::task::spawn;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// Passes a request to the engine, and fails it shortly before its deadline if it has no answer by then.
pub fn admit(pipeline: &Rc<Pipeline>, request: &Request, deadline: Instant) {
    let id = request.id;
    pipeline.engine.handle(Event::Request {
        id,
        class: request.class,
        plan: request.plan,
        customer: request.customer,
        budget: request.wait.as_nanos() as u64,
        units: request.units,
        spread: request.spread,
        first_limiter: request.first_limiter,
        flags: request.flags,
    });
    // The engine may never answer the request.
    let fail_at = deadline
        .checked_sub(pipeline.limits.requests.deadline_margin)
        .unwrap_or(deadline);
    let pipeline = pipeline.clone();
    spawn(async move {
        sleep_until(fail_at).await;
        complete::fail_if_open(&pipeline, id);
    });
}
