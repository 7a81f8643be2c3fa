//! Deadlines of a request: its latency objective, and the latest moment of its final answer.

use super::attempt::AttemptKey;
use super::request::RequestState;
use super::RequestLifecycle;
use crate::api::RequestId;
use crate::context::Context;

/// A timer that is due more than this many ticks late shows that the limiter was paused.
const MAX_TIMER_DELAY_TICKS: u64 = 2;

impl RequestLifecycle {
    /// Handles the latest moment of a request's final answer. A started stream has none.
    pub(crate) fn on_deadline(&mut self, id: RequestId, context: &mut Context) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.state != RequestState::Streaming {
            self.finish(id, context);
        }
    }

    /// Handles the latency objective of a request. An attempt in flight has missed it.
    pub(crate) fn on_latency_objective(&mut self, id: RequestId, context: &mut Context) {
        let Some(request) = self.requests.in_state(id, RequestState::InFlight) else {
            return;
        };
        // An answer without weight is not waited for: the client is answered at once.
        let is_worthless = context.class(request.class()).late_weight <= 0.0;
        // A limiter that was paused gets its timers late, and hosts are not at fault for that.
        let max_delay = MAX_TIMER_DELAY_TICKS * context.settings().limiters.tick;
        let is_on_time = context.now() <= request.objective_deadline(context) + max_delay;
        let key = AttemptKey {
            request: id,
            attempt: request.latest_attempt(),
        };
        if is_on_time {
            self.record_missed_objective(key, context);
        }
        if is_worthless {
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
