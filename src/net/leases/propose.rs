//! The task that drives the proposers: begins their rounds when they are due.

use super::node::LeaseNode;
use quartzcleat_lease::Nanos;
use std::rc::Rc;
use tokio::time::sleep_until;

/// Minimum time between two checks, in nanoseconds. It lets responses to the last round arrive before the next round
/// begins, even if that one is already due.
const MIN_CHECK_INTERVAL: Nanos = 1_000_000;

/// Maximum time between two checks, in nanoseconds.
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
