//! Completion: outcomes of attempts, missed deadlines, and the final answer of a request.

use super::*;
use crate::quota::Correction;

impl DecisionEngine {
    /// The host's work is done when its answer begins, however long the client takes to read it. The
    /// customer's cap on concurrent attempts still counts the attempt.
    pub(super) fn on_stream_started(
        &mut self,
        key: AttemptKey,
        elapsed: Nanos,
        actions: &mut Actions,
    ) {
        self.requests
            .entry(key.request)
            .and_modify(|request| request.state = RequestState::Streaming);
        let Some(attempt) = self.in_flight.get_mut(&key) else {
            return;
        };
        if !std::mem::replace(&mut attempt.stream_started, true) {
            self.host_pool
                .record_outcome(key.request, attempt, Outcome::Good, elapsed, actions);
            self.release_queue(actions);
        }
    }

    pub(super) fn on_attempt_done(
        &mut self,
        key: AttemptKey,
        end: AttemptEnd,
        actions: &mut Actions,
    ) {
        let Some(attempt) = self.in_flight.remove(&key) else {
            return;
        };
        self.quotas.record_attempt_end(attempt.customer);
        if !attempt.stream_started {
            self.host_pool
                .record_outcome(key.request, &attempt, end.outcome, end.elapsed, actions);
        }
        let request = self.requests.get_mut(&key.request);
        if let Some(request) = request.filter(|_| end.outcome.never_ran()) {
            // An attempt that did not run does not restrict retries.
            request.first_run = request.first_run.filter(|run| run.attempt != key.attempt);
        }
        self.settle_units(key.request, &end, actions);
        if end.is_request_finished {
            self.requests.remove(&key.request);
        } else {
            self.retry_or_finish(key.request, attempt.host, end.outcome, actions);
        }
        self.release_queue(actions);
    }

    /// Corrects the count to the true units, up to the most that a request counts.
    fn settle_units(&mut self, id: RequestId, end: &AttemptEnd, actions: &mut Actions) {
        let is_settled = self.settings.units.are_estimates
            && end.outcome == Outcome::Good
            && end.true_units > 0.0;
        if let Some(request) = self.requests.get(&id).filter(|_| is_settled) {
            let claim = &request.claim;
            let units = end
                .true_units
                .min(self.settings.units.largest_request.max(claim.units));
            self.quotas
                .adjust(claim, units - claim.units, Correction::Settlement, actions);
        }
    }

    pub(super) fn on_deadline(&mut self, id: RequestId, actions: &mut Actions) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.state != RequestState::Streaming)
        {
            self.finish(id, actions);
        }
    }

    /// Handles an attempt that was not answered by the request's latency objective.
    pub(super) fn on_latency_objective(&mut self, id: RequestId, actions: &mut Actions) {
        let request = self
            .requests
            .get(&id)
            .filter(|request| request.state == RequestState::InFlight);
        let Some(request) = request else { return };
        // A limiter that was paused gets its timers late, and hosts are not at fault for that.
        let is_on_time =
            self.now <= self.objective_deadline(request) + 2 * self.settings.limiters.tick;
        // An answer without weight is not waited for: the client is answered at once.
        let is_worthless = self.class(request).late_weight <= 0.0;
        let key = AttemptKey {
            request: id,
            attempt: AttemptIndex(request.attempts - 1),
        };
        if let Some(attempt) = self.in_flight.get(&key).filter(|_| is_on_time) {
            self.host_pool.record_missed_objective(attempt);
        }
        if is_worthless {
            self.finish(id, actions);
        }
    }

    /// The final answer of a request without an answer of a host: a rejection if the request had no effect
    /// that a retry would repeat, else a failure.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.close(id, actions) else {
            return;
        };
        let class = self.class(&request);
        let is_deduplicated =
            class.effect == Effect::IdempotentWithKey && class.dedup_scope == DedupScope::All;
        let is_safe =
            request.first_run.is_none() || class.effect == Effect::Idempotent || is_deduplicated;
        if request.state == RequestState::InFlight && self.settings.capabilities.cancel {
            actions.push(Action::CancelAttempt {
                id,
                attempt: AttemptIndex(request.attempts - 1),
            });
        }
        let retry_after = self.retry_after(&request);
        actions.push(if is_safe {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    /// Removes a request. The units of one that never ran are refunded, no matter who ended it.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Actions) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        if request.first_run.is_none() {
            self.quotas.adjust(
                &request.claim,
                -request.claim.units,
                Correction::Refund,
                actions,
            );
        }
        Some(request)
    }
}
