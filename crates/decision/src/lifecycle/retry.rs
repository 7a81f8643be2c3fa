//! Retries: whether a failed attempt is retried, and how soon the retry must begin.

use super::dispatch::Dispatch;
use super::request::{PendingRequest, RequestState};
use super::RequestLifecycle;
use crate::api::{Effect, HostId, Nanos, Outcome, RequestId};
use crate::context::Context;

impl RequestLifecycle {
    /// Retries a request after a failed attempt, or finishes it.
    pub(super) fn retry_or_finish(
        &mut self,
        id: RequestId,
        failed_host: HostId,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let Some(request) = self.requests.in_state(id, RequestState::InFlight) else {
            return;
        };
        if !self.may_retry(request, outcome, context) {
            self.finish(id, context);
            return;
        }
        let slow_start_sample = context.random_fraction();
        if let Some(request) = self.requests.get_mut(id) {
            request.requirements.avoid = Some(failed_host);
            request.requirements.slow_start_sample = slow_start_sample;
            request.state = RequestState::Queued;
        }
        if !outcome.never_ran() {
            self.retry_budget.spend();
        }
        if self.dispatch(id, context) != Dispatch::Sent {
            self.queue.push_front(id);
        }
    }

    fn may_retry(&self, request: &PendingRequest, outcome: Outcome, context: &Context) -> bool {
        begins_within(request, context) > 0
            && outcome != Outcome::NeverSent
            && request.attempts < context.settings().attempts.max_per_request.max(1)
            && (self.retry_budget.has_retry() || outcome.never_ran())
            && context.now() + self.expected_latency(request) < request.objective_deadline(context)
    }
}

/// Returns the duration within which a further attempt must begin, given the attempt that may have run. Zero
/// means that no further attempt is allowed.
pub(super) fn begins_within(request: &PendingRequest, context: &Context) -> Nanos {
    let Some(run) = request.first_run else {
        return Nanos::MAX;
    };
    let class = context.class(request.class());
    match class.effect {
        Effect::Idempotent => Nanos::MAX,
        Effect::Unsafe => 0,
        Effect::IdempotentWithKey => {
            let window_end = run.sent_at.saturating_add(class.dedup_window);
            window_end.saturating_sub(context.now())
        }
    }
}
