//! Second stage: the module is told of the request and decides whether it goes on.

use super::book;
use crate::api::Event;
use crate::net::core::Request;
use crate::net::task::spawn;
use crate::net::Node;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// Puts a request to the module, and sees to it that it is answered whatever becomes of it.
pub fn admit(node: &Rc<Node>, request: Request, deadline: Instant) {
    let Request { id, class, plan, customer, units, spread, first, flags, wait, .. } = request;
    node.tell(Event::Request {
        id,
        class,
        plan,
        customer,
        budget: wait.as_nanos() as u64,
        units,
        spread,
        first_gateway: first,
        flags,
    });
    // Guards against a request that the module forgets: it is failed at the last moment.
    let last = deadline.checked_sub(node.limits.last_moment).unwrap_or(deadline);
    let node = node.clone();
    spawn(async move {
        sleep_until(last).await;
        book::give_up(&node, id);
    });
}
