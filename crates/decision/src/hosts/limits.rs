//! Concurrency limits of each host and of all hosts together, adjusted by answer times.

use super::host::{AttemptResult, SentAttempt};
use super::HostPool;
use crate::api::{Outcome, Settings};
use crate::context::Context;
use crate::objective::PROMPT_OBJECTIVE_RATIO;
use crate::time::to_seconds;

#[cfg(test)]
mod tests;

/// Attempts at once that a host gets at the start, from all limiters together.
const INITIAL_HOST_CONCURRENCY: f64 = 6.0;
/// Attempts by which the concurrency limit over all hosts changes with an answer, times how prompt that was.
const CONCURRENCY_GAIN: f64 = 0.3;
/// Factors on a host's concurrency limit after an answer past its objective, and after one not prompt.
const MISSED_OBJECTIVE_BACKOFF: f64 = 0.25;
const QUEUEING_BACKOFF: f64 = 0.7;
/// Lower bound of a host's concurrency limit, in attempts.
pub(super) const MIN_HOST_LIMIT: f64 = 1.0;
/// A host's limit starts at no more than this many attempts.
const MAX_INITIAL_HOST_LIMIT: f64 = 2.0;

/// Attempts at once for each host at the start, over all hosts.
pub(super) fn initial_pool_limit(settings: &Settings) -> f64 {
    INITIAL_HOST_CONCURRENCY / f64::from(settings.limiters.count)
}

/// Attempts at once at one host at the start.
pub(super) fn initial_host_limit(settings: &Settings) -> f64 {
    initial_pool_limit(settings).clamp(MIN_HOST_LIMIT, MAX_INITIAL_HOST_LIMIT)
}

impl HostPool {
    /// Whether no further attempt may be sent. Attempts that do not return keep their places, as hosts would
    /// else collect requests that no client waits for. After a pause of the limiter it is too strict.
    pub(crate) fn is_full(&self, context: &Context) -> bool {
        let limit = self.concurrency_limit.value() * self.ready_capacity(context);
        self.in_flight as f64 >= limit.round().max(1.0)
    }

    /// Adjusts the limit over all hosts by an answer's time as a multiple of its latency objective: up while
    /// answers are prompt and the limit is in use, down while they are not.
    pub(crate) fn adjust_pool_limit(&mut self, objective_ratio: f64, context: &Context) {
        // Absolute changes make all limiters together act alike, however many they are.
        let capacity = self.ready_capacity(context).max(1.0);
        let change = CONCURRENCY_GAIN * (PROMPT_OBJECTIVE_RATIO - objective_ratio);
        let is_in_use =
            self.in_flight as f64 + 1.0 >= self.concurrency_limit.value() * capacity / 2.0;
        if change < 0.0 || is_in_use {
            self.concurrency_limit
                .add(change / capacity, 1.0 / capacity);
        }
    }

    /// Adjusts the limit of one host by the result of an attempt (AIMD): a prompt success raises it, if it is
    /// in use; any other result lowers it.
    pub(super) fn adjust_host_limit(
        &mut self,
        attempt: &SentAttempt,
        result: &AttemptResult,
        context: &Context,
    ) {
        let objective = to_seconds(context.class(attempt.class).latency_objective);
        let elapsed = to_seconds(result.elapsed);
        let Some(host) = self.host_mut(attempt.host) else {
            return;
        };
        let is_in_use = host.attempts_in_flight() + 1.0 >= host.concurrency_limit.value() / 2.0;
        // Compared with a product: the quotient of the two times rounds otherwise.
        let is_prompt = elapsed <= objective * PROMPT_OBJECTIVE_RATIO;
        if result.outcome == Outcome::Good && is_prompt {
            if is_in_use {
                // All limiters raise their limits at the same time, and late answers show it only afterwards.
                let limiter_count = f64::from(context.settings().limiters.count);
                let increase = 1.0 / host.concurrency_limit.value() / limiter_count;
                host.concurrency_limit.add(increase, MIN_HOST_LIMIT);
            }
            return;
        }
        // Past the objective all of a host's work is lost, and it recovers only if its queue empties.
        let factor = if elapsed > objective {
            MISSED_OBJECTIVE_BACKOFF
        } else {
            QUEUEING_BACKOFF
        };
        host.concurrency_limit.back_off(factor, MIN_HOST_LIMIT);
    }
}
