//! Second stage: the decision engine gets the request and decides whether it is admitted.

use super::complete;
use super::pipeline::Pipeline;
use crate::api::Event;
use crate::net::engine::Request;
use crate::net::task::spawn;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// Hands a request to the engine, and fails it shortly before its deadline where it has no answer by then.
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
    // A request that the engine never answers is failed shortly before its deadline.
    let last_moment = deadline
        .checked_sub(pipeline.limits.requests.deadline_margin)
        .unwrap_or(deadline);
    let pipeline = pipeline.clone();
    spawn(async move {
        sleep_until(last_moment).await;
        complete::give_up(&pipeline, id);
    });
}
