//! Second stage: the module is told of the request and decides whether it goes on.

use super::complete;
use crate::api::Event;
use crate::net::engine::Request;
use crate::net::task::spawn;
use crate::net::Limiter;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// Puts a request to the module, and sees to it that it is answered whatever becomes of it.
pub fn admit(limiter: &Rc<Limiter>, request: Request, deadline: Instant) {
    let Request {
        id,
        class,
        plan,
        customer,
        units,
        spread,
        first,
        flags,
        wait,
        ..
    } = request;
    limiter.tell(Event::Request {
        id,
        class,
        plan,
        customer,
        budget: wait.as_nanos() as u64,
        units,
        spread,
        first_limiter: first,
        flags,
    });
    // Guards against a request that the module forgets: it is failed at the last moment.
    let last = deadline
        .checked_sub(limiter.limits.last_moment)
        .unwrap_or(deadline);
    let limiter = limiter.clone();
    spawn(async move {
        sleep_until(last).await;
        complete::give_up(&limiter, id);
    });
}
