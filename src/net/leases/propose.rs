//! The task that begins the proposers' rounds when they are due.

use super::node::LeaseNode;
use quartzcleat_lease::Nanos;
use std::rc::Rc;
use tokio::time::sleep_until;

/// The shortest time between two checks: a round that is due at once first lets the responses of the last one arrive.
const MIN_CHECK_INTERVAL: Nanos = 1_000_000;

/// The longest time between two checks.
const MAX_CHECK_INTERVAL: Nanos = 1_000_000_000;

/// Runs until the process ends.
pub(super) async fn run(node: Rc<LeaseNode>) {
    loop {
        let now = node.now();
        let next_deadline = node.propose(now);
        let check_at = next_deadline.clamp(now + MIN_CHECK_INTERVAL, now + MAX_CHECK_INTERVAL);
        tokio::select! {
            () = sleep_until(node.instant_at(check_at)) => {}
            () = node.deadline_changed() => {}
        }
    }
}
