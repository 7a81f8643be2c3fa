//! Queue of admitted requests that wait for capacity.

use crate::api::{RequestId, Timer};
use crate::context::Context;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Minimum interval between two releases of the queue, in nanoseconds.
const MIN_RELEASE_INTERVAL: u64 = 1_000_000;

/// Ids of queued requests. Some requests may have left the state `Queued`; they are dropped at the next
/// release. Invariant: at most one timer for the next release is set.
#[derive(Debug, Default)]
pub(super) struct DispatchQueue {
    ids: VecDeque<RequestId>,
    is_timer_set: bool,
}

impl DispatchQueue {
    pub(super) fn push_back(&mut self, id: RequestId) {
        self.ids.push_back(id);
    }

    pub(super) fn push_front(&mut self, id: RequestId) {
        self.ids.push_front(id);
    }

    /// Removes and returns all ids in queue order.
    pub(super) fn remove_all(&mut self) -> Vec<RequestId> {
        Vec::from(std::mem::take(&mut self.ids))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Sets the timer for the next release, unless it is set already or the queue is empty.
    pub(super) fn set_timer(&mut self, context: &mut Context) {
        if self.is_timer_set || self.is_empty() {
            return;
        }
        self.is_timer_set = true;
        let interval = context.settings().limiters.tick.max(MIN_RELEASE_INTERVAL);
        context.set_timer(Timer::ReleaseQueue, interval);
    }

    /// Records that the timer has fired.
    pub(super) fn clear_timer(&mut self) {
        self.is_timer_set = false;
    }
}
