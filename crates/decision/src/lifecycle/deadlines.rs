//! Timers of a request: its latency objective and its deadline.

use super::attempt::AttemptKey;
use super::request::RequestState;
use super::RequestLifecycle;
use crate::api::RequestId;
use crate::context::Context;

/// Delay of a timer above which the limiter is assumed to have been paused, in ticks.
const MAX_TIMER_DELAY_TICKS: u64 = 2;

impl RequestLifecycle {
    /// Handles the deadline of a request, which does not apply to an answer that is being streamed.
    pub(crate) fn on_deadline(&mut self, id: RequestId, context: &mut Context) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.state != RequestState::Streaming {
            self.finish(id, context);
        }
    }

    /// Handles the end of a request's latency objective, which an attempt still in flight has missed.
    pub(crate) fn on_latency_objective(&mut self, id: RequestId, context: &mut Context) {
        let Some(request) = self.requests.in_state(id, RequestState::InFlight) else {
            return;
        };
        // A late answer without weight is not awaited: the client gets its final answer immediately.
        let has_no_late_weight = context.class(request.class()).late_weight <= 0.0;
        // Timers also fire late after a pause of the limiter, which must not be attributed to the host.
        let max_delay = MAX_TIMER_DELAY_TICKS * context.settings().limiters.tick;
        let is_on_time = context.now() <= request.objective_deadline(context) + max_delay;
        let key = AttemptKey {
            request: id,
            attempt: request.latest_attempt(),
        };
        if is_on_time {
            self.record_missed_objective(key, context);
        }
        if has_no_late_weight {
            self.finish(id, context);
        }
    }

    fn record_missed_objective(&mut self, key: AttemptKey, context: &Context) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let sent = attempt.sent;
        self.record_objective_ratio(self.shedder.missed_objective_ratio(), context);
        self.hosts.record_missed_objective(&sent, context.now());
    }
}
