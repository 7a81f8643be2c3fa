//! Requests whose client left while an attempt may have run, although the request must not run again.

use super::attempt::AttemptKey;
use crate::api::{AttemptIndex, Nanos, RequestId};
use crate::time::SECOND;
use std::collections::{BTreeMap, VecDeque};

/// Time for which a request is remembered, in nanoseconds.
const REMEMBERED_FOR: Nanos = 60 * SECOND;
/// Maximum number of requests that are remembered, past which the oldest is forgotten.
const MAX_REMEMBERED: usize = 4_096;

/// Time at which the client of a request left.
#[derive(Clone, Copy, Debug)]
struct Abandonment {
    id: RequestId,
    at: Nanos,
}

/// The requests whose clients left most recently, and the attempts of them that may have run.
#[derive(Debug, Default)]
pub(super) struct AbandonedRuns {
    attempts: BTreeMap<RequestId, AttemptIndex>,
    /// The abandonments in their order. May contain requests that are forgotten.
    order: VecDeque<Abandonment>,
}

impl AbandonedRuns {
    /// Remembers a request and its attempt that may have run.
    pub(super) fn remember(&mut self, run: AttemptKey, now: Nanos) {
        if self.order.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        self.attempts.insert(run.request, run.attempt);
        self.order.push_back(Abandonment {
            id: run.request,
            at: now,
        });
    }

    /// Forgets a request if `attempt` is the one that may have run: it is known now that it has not.
    pub(super) fn record_never_ran(&mut self, attempt: AttemptKey) {
        if self.attempts.get(&attempt.request) == Some(&attempt.attempt) {
            self.attempts.remove(&attempt.request);
        }
    }

    /// Returns whether a request may have run before its client left.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// Forgets the requests whose clients left long ago.
    pub(super) fn remove_expired(&mut self, now: Nanos) {
        let is_expired = |left: &Abandonment| now.saturating_sub(left.at) > REMEMBERED_FOR;
        while self.order.front().is_some_and(is_expired) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.attempts.remove(&oldest.id);
        }
    }
}
