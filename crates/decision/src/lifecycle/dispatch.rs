//! Dispatch of attempts, and the rules for retries.

use super::*;
use crate::host_selection::{HostRequirements, InFlightAttempt};

/// Retry tokens that a first attempt earns. A retry of a request that may have run costs one.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum number of retry tokens of all limiters together.
const MAX_RETRY_TOKENS: f64 = 20.0;

impl DecisionEngine {
    /// Sends the request's next attempt, if quota limits, deduplication window and hosts allow it now.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Actions) -> Dispatch {
        let Some(request) = self.requests.get(&id).cloned() else {
            return Dispatch::Sent;
        };
        let is_first = request.attempts == 0;
        if is_first && self.quotas.is_ceiling_exhausted(&request.claim)
            || self.begins_within(&request) == 0
            || is_first && !self.quotas.has_open_capacity(&request.claim)
        {
            return Dispatch::RequestLimited;
        }
        if self.host_pool.is_full() {
            return Dispatch::NoHost;
        }
        let first_run = request.first_run.map(|run| run.location);
        let requirements = HostRequirements {
            first_run,
            ..request.requirements
        };
        let Some(host) = self.host_pool.select_host(&requirements, &mut self.random) else {
            return if first_run.is_some() {
                Dispatch::RequestLimited
            } else {
                Dispatch::NoHost
            };
        };
        self.send_attempt(id, &request, host, actions);
        Dispatch::Sent
    }

    fn send_attempt(
        &mut self,
        id: RequestId,
        request: &PendingRequest,
        host: HostId,
        actions: &mut Actions,
    ) {
        if request.attempts == 0 {
            self.quotas.record_first_attempt(&request.claim);
            self.retry_tokens += RETRY_TOKENS_PER_REQUEST;
        } else {
            self.quotas.record_retry(&request.claim);
        }
        let max_tokens = (MAX_RETRY_TOKENS / f64::from(self.settings.limiters.count)).max(1.0);
        self.retry_tokens = self.retry_tokens.min(max_tokens);
        let attempt = AttemptIndex(request.attempts);
        let sent_at = self.now;
        let class = request.requirements.class;
        let customer = request.claim.customer;
        let in_flight = InFlightAttempt {
            host,
            sent_at,
            class,
            customer,
            stream_started: false,
        };
        self.in_flight.insert(
            AttemptKey {
                request: id,
                attempt,
            },
            in_flight,
        );
        let location = self.host_pool.record_dispatch(id, host);
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = RequestState::InFlight;
            request.attempts += 1;
            // Until its outcome proves otherwise, this attempt may be the first that ran.
            let run = location.map(|location| FirstRun {
                attempt,
                location,
                sent_at,
            });
            request.first_run = request.first_run.or(run);
        }
        let timeout = request.deadline.saturating_sub(sent_at);
        actions.push(Action::Attempt {
            id,
            host,
            timeout,
            begins_within: self.begins_within(request),
        });
    }

    /// Retries a request after a failed attempt, or gives it its final answer.
    pub(super) fn retry_or_finish(
        &mut self,
        id: RequestId,
        failed_host: HostId,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.state != RequestState::InFlight {
            return;
        }
        if !self.may_retry(request, outcome) {
            return self.finish(id, actions);
        }
        let slow_start_draw = self.random.f64();
        if let Some(request) = self.requests.get_mut(&id) {
            request.requirements.avoid = Some(failed_host);
            request.requirements.slow_start_draw = slow_start_draw;
            request.state = RequestState::Queued;
        }
        self.retry_tokens -= if outcome.never_ran() { 0.0 } else { 1.0 };
        if self.dispatch(id, actions) != Dispatch::Sent {
            self.queue.push_front(id);
        }
    }

    fn may_retry(&self, request: &PendingRequest, outcome: Outcome) -> bool {
        self.begins_within(request) > 0
            && outcome != Outcome::NeverSent
            && request.attempts < self.settings.attempts.max_per_request.max(1)
            && (self.retry_tokens >= 1.0 || outcome.never_ran())
            && self.now + self.expected_latency(request) < self.objective_deadline(request)
    }

    /// How soon a further attempt must begin, given the one that may have run; zero: not at all.
    fn begins_within(&self, request: &PendingRequest) -> Nanos {
        let class = self.class(request);
        let Some(run) = request.first_run else {
            return Nanos::MAX;
        };
        match class.effect {
            Effect::Idempotent => Nanos::MAX,
            Effect::Unsafe => 0,
            Effect::IdempotentWithKey => run
                .sent_at
                .saturating_add(class.dedup_window)
                .saturating_sub(self.now),
        }
    }
}
