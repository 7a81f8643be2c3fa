//! Capacity: concurrency limits of each host and of all, and the admission ratio, adjusted by answer times.

use super::{HostAttempt, HostPool, InFlightAttempt, Measurement};
use crate::api::*;
use crate::units::to_seconds;

/// Attempts at once that a host gets at the start, from all limiters together.
const INITIAL_HOST_CONCURRENCY: f64 = 6.0;
/// Attempts by which the concurrency limit over all hosts changes with an answer, times how prompt that was.
const CONCURRENCY_GAIN: f64 = 0.3;
/// A longer part of the latency objective than this shows that requests queue at the host.
const PROMPT_OBJECTIVE_FRACTION: f64 = 0.3;
/// Lower bound of the admission ratio.
pub(crate) const MIN_ADMISSION_RATIO: f64 = 0.05;
/// Shortest and longest interval that one answer stands for.
const MIN_ANSWER_INTERVAL_SECONDS: f64 = 0.02;
const MAX_ANSWER_INTERVAL_SECONDS: f64 = 5.0;
/// Factors on a host's concurrency limit after an answer past its objective, and after one not prompt.
const MISSED_OBJECTIVE_BACKOFF: f64 = 0.25;
const QUEUEING_BACKOFF: f64 = 0.7;
/// Number of consecutive failures after which a host is logged.
const FAILURES_BEFORE_LOG: u32 = 3;
/// Number of answers in the mean answer time of a class.
const MAX_CLASS_ANSWERS: f64 = 100.0;
/// Weight of one more answer in the mean lateness of successful attempts.
const SUCCESS_SMOOTHING: f64 = 0.1;

/// Attempts at once for each host at the start, over all hosts.
pub(super) fn initial_pool_limit(settings: &Settings) -> f64 {
    INITIAL_HOST_CONCURRENCY / f64::from(settings.limiters.count)
}

/// Attempts at once at one host at the start.
pub(super) fn initial_host_limit(settings: &Settings) -> f64 {
    initial_pool_limit(settings).clamp(1.0, 2.0)
}

impl HostPool {
    /// Whether no further attempt may be sent. Attempts that do not return keep their places, as hosts would
    /// else collect requests that no client waits for. After a pause of the limiter it is too strict.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight as f64
            >= (self.concurrency_limit * self.ready_capacity())
                .round()
                .max(1.0)
    }

    /// Records an answer's time as a part of its latency objective. While answers are late in the mean,
    /// whichever host they come from, fewer requests are admitted.
    pub(crate) fn record_lateness(&mut self, lateness: f64) {
        // Absolute changes make all limiters together act alike, however many they are.
        let capacity = self.ready_capacity().max(1.0);
        let change = CONCURRENCY_GAIN * (PROMPT_OBJECTIVE_FRACTION - lateness);
        if change < 0.0 || self.in_flight as f64 + 1.0 >= self.concurrency_limit * capacity / 2.0 {
            self.concurrency_limit =
                (self.concurrency_limit + change / capacity).max(1.0 / capacity);
        }
        // With a low ratio few answers come: each stands for the interval before it, a late one for 1 s.
        let interval = to_seconds(self.now - self.lateness_at).min(MAX_ANSWER_INTERVAL_SECONDS);
        self.lateness_at = self.now;
        let smoothing = 1.0 - (-interval.max(MIN_ANSWER_INTERVAL_SECONDS)).exp();
        self.mean_lateness += smoothing * (lateness - self.mean_lateness);
        let change = (interval * (PROMPT_OBJECTIVE_FRACTION - self.mean_lateness))
            .max(PROMPT_OBJECTIVE_FRACTION - self.mean_lateness.max(1.0));
        self.admission_ratio =
            (self.admission_ratio * change.exp()).clamp(MIN_ADMISSION_RATIO, 1.0);
    }

    /// Records that no answer came by the latency objective. Where successful attempts are prompt, hosts are
    /// not overloaded, and shedding would not bring back lost answers or dead hosts; so lateness counts by
    /// theirs. This reacts late if all hosts stop at once.
    pub(crate) fn record_missed_objective(&mut self, attempt: &InFlightAttempt) {
        self.record_lateness((self.success_lateness / PROMPT_OBJECTIVE_FRACTION).min(1.0));
        self.record_latency(attempt, self.now - attempt.sent_at, Measurement::Failure);
    }

    /// Records the outcome of an attempt at its host.
    pub(crate) fn record_outcome(
        &mut self,
        request: RequestId,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        elapsed: Nanos,
        actions: &mut Actions,
    ) {
        if let Some(host) = self.hosts.get_mut(&attempt.host) {
            host.in_flight.remove(&HostAttempt {
                sent_at: attempt.sent_at,
                request,
            });
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Cancelled | Outcome::NeverSent) {
            return;
        }
        let objective = to_seconds(self.settings.classes[attempt.class].latency_objective);
        let lateness = if outcome == Outcome::Rejected {
            1.0
        } else {
            to_seconds(elapsed) / objective
        };
        if matches!(outcome, Outcome::Rejected | Outcome::Good) && lateness <= 1.0 {
            self.record_lateness(lateness);
        }
        let is_good = outcome == Outcome::Good;
        let measurement = if is_good {
            Measurement::Answer
        } else {
            Measurement::Failure
        };
        self.record_latency(attempt, elapsed, measurement);
        self.adjust_host_limit(attempt.host, outcome, to_seconds(elapsed), objective);
        match outcome {
            Outcome::Good => self.record_success(attempt, to_seconds(elapsed), lateness),
            Outcome::Rejected => {}
            _ => self.record_failure(attempt.host, actions),
        }
    }

    fn adjust_host_limit(&mut self, host: HostId, outcome: Outcome, elapsed: f64, objective: f64) {
        let Some(host) = self.hosts.get_mut(&host) else {
            return;
        };
        let is_in_use = host.in_flight.len() as f64 + 1.0 >= host.concurrency_limit / 2.0;
        if outcome == Outcome::Good && elapsed <= objective * PROMPT_OBJECTIVE_FRACTION {
            // All limiters raise their limits at the same time, and late answers show it only afterwards.
            let increase = 1.0 / host.concurrency_limit / f64::from(self.settings.limiters.count);
            host.concurrency_limit += if is_in_use { increase } else { 0.0 };
        } else {
            // Past the objective all of a host's work is lost, and it recovers only if its queue empties.
            let backoff = if elapsed > objective {
                MISSED_OBJECTIVE_BACKOFF
            } else {
                QUEUEING_BACKOFF
            };
            host.concurrency_limit = (host.concurrency_limit * backoff).max(1.0);
        }
    }

    fn record_success(&mut self, attempt: &InFlightAttempt, elapsed: f64, lateness: f64) {
        let Some(host) = self.hosts.get_mut(&attempt.host) else {
            return;
        };
        host.consecutive_failures = 0;
        self.success_lateness += SUCCESS_SMOOTHING * (lateness.min(1.0) - self.success_lateness);
        let latency = &mut self.class_latency[attempt.class];
        latency.answers = (latency.answers + 1.0).min(MAX_CLASS_ANSWERS);
        latency.mean += (elapsed - latency.mean) / latency.answers;
    }

    fn record_failure(&mut self, id: HostId, actions: &mut Actions) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        host.consecutive_failures += 1;
        let failures = host.consecutive_failures;
        if failures == FAILURES_BEFORE_LOG {
            actions.push(Action::Log {
                event: LogEvent::HostFailing {
                    host: id,
                    consecutive_failures: failures,
                },
            });
        }
    }
}
