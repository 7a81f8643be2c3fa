//! Concurrency limits per host and over all hosts, adjusted by answer times.

use super::host::{AttemptResult, SentAttempt};
use super::HostPool;
use crate::api::{Outcome, Settings};
use crate::context::Context;
use crate::objective::PROMPT_OBJECTIVE_RATIO;
use crate::time::to_seconds;

#[cfg(test)]
mod tests;

/// Initial number of concurrent attempts per host, from all limiters together.
const INITIAL_HOST_CONCURRENCY: f64 = 6.0;
/// Gain of the concurrency limit over all hosts, in attempts per answer and per unit of difference between
/// the answer's objective ratio and [`PROMPT_OBJECTIVE_RATIO`].
const CONCURRENCY_GAIN: f64 = 0.3;
/// Factor on a host's concurrency limit after a result past the latency objective.
const MISSED_OBJECTIVE_BACKOFF: f64 = 0.25;
/// Factor on a host's concurrency limit after any other result that is not a prompt success.
const QUEUEING_BACKOFF: f64 = 0.7;
/// Lower bound of a host's concurrency limit, in attempts.
pub(super) const MIN_HOST_LIMIT: f64 = 1.0;
/// Upper bound of a host's initial concurrency limit, in attempts.
const MAX_INITIAL_HOST_LIMIT: f64 = 2.0;

/// Returns the initial concurrency limit over all hosts, in attempts of this limiter per host at full capacity.
pub(super) fn initial_pool_limit(settings: &Settings) -> f64 {
    INITIAL_HOST_CONCURRENCY / f64::from(settings.limiters.count)
}

/// Returns the initial concurrency limit of one host, in attempts of this limiter.
pub(super) fn initial_host_limit(settings: &Settings) -> f64 {
    initial_pool_limit(settings).clamp(MIN_HOST_LIMIT, MAX_INITIAL_HOST_LIMIT)
}

impl HostPool {
    /// Returns whether the concurrency limit over all hosts is reached. An attempt counts until its result
    /// arrives, as hosts would otherwise accumulate requests that no client waits for. The check is too strict
    /// after a pause of the limiter.
    pub(crate) fn is_full(&self, context: &Context) -> bool {
        let limit = self.concurrency_limit.value() * self.ready_capacity(context);
        self.in_flight as f64 >= limit.round().max(1.0)
    }

    /// Adjusts the limit over all hosts by an answer time, given as a multiple of its latency objective:
    /// raises it after a prompt answer if the limit is in use, and lowers it after any other.
    pub(crate) fn adjust_pool_limit(&mut self, objective_ratio: f64, context: &Context) {
        // The change is absolute, not relative to the limit, so that all limiters together behave alike
        // whatever their number.
        let capacity = self.ready_capacity(context).max(1.0);
        let change = CONCURRENCY_GAIN * (PROMPT_OBJECTIVE_RATIO - objective_ratio);
        let is_in_use =
            self.in_flight as f64 + 1.0 >= self.concurrency_limit.value() * capacity / 2.0;
        if change < 0.0 || is_in_use {
            self.concurrency_limit
                .add(change / capacity, 1.0 / capacity);
        }
    }

    /// Adjusts the limit of one host by the result of an attempt (AIMD): a prompt success raises it if the
    /// limit is in use, and any other result lowers it.
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
        // A product, since the quotient `elapsed / objective` would round differently.
        let is_prompt = elapsed <= objective * PROMPT_OBJECTIVE_RATIO;
        if result.outcome == Outcome::Good && is_prompt {
            if is_in_use {
                // Divided by the number of limiters: all raise their limits at the same time, and late
                // answers reveal an overload only afterwards.
                let limiter_count = f64::from(context.settings().limiters.count);
                let increase = 1.0 / host.concurrency_limit.value() / limiter_count;
                host.concurrency_limit.add(increase, MIN_HOST_LIMIT);
            }
            return;
        }
        // Past the objective all work of the host is wasted, and it recovers only once its queue is empty.
        let factor = if elapsed > objective {
            MISSED_OBJECTIVE_BACKOFF
        } else {
            QUEUEING_BACKOFF
        };
        host.concurrency_limit.back_off(factor, MIN_HOST_LIMIT);
    }
}
