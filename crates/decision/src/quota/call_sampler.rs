//! Sampling of the requests that call the counter: more calls than it answers in time lengthen its queue.

use super::counter_calls::CounterReply;
use crate::api::{LogEvent, Nanos, Outcome};
use crate::primitives::ExponentialMean;
use crate::snapshot::{valid_or, CounterCallsSnapshot, MAX_UNITS};

#[cfg(test)]
mod tests;

/// Part of the counter's timeout that its replies may take; the call ratio follows it.
const TARGET_DELAY: f64 = 0.65;
/// Change of the logarithm of the call ratio with one reply, times the distance from the target.
const CALL_RATIO_GAIN: f64 = 0.5;
/// Lower bound of the call ratio: the recovery of a failed counter shows only in replies.
const MIN_CALL_RATIO: f64 = 0.1;
/// Multiples of the minimum ratio at which the counter is logged as degraded, and as recovered.
const DEGRADED_BELOW: f64 = 2.0;
const RECOVERED_ABOVE: f64 = 4.0;
/// Weight of one more request in the mean need, and the lower bound of needs in a quotient.
const NEED_SMOOTHING: f64 = 0.1;
const MIN_NEED: f64 = 1e-9;

/// How often a customer's requests come through this limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CustomerFrequency {
    /// A later call will include the units of a request that makes none.
    Frequent,
    /// No later call may come for long.
    Infrequent,
}

/// Whether a request calls the counter, and how many like it the call stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallSampling {
    pub(super) probability: f64,
    pub(super) weight: f64,
}

/// Decides by chance which requests call the counter. The call ratio, the part of the requests that call it,
/// follows the delay of its replies; a request that would add much calls it more often than one that would add
/// little, as totals are wrong by the units that they lack.
#[derive(Debug)]
pub(super) struct CallSampler {
    /// In [`MIN_CALL_RATIO`]..=1.
    call_ratio: f64,
    /// Mean need of a request.
    mean_need: ExponentialMean,
    is_counter_degraded: bool,
}

impl CallSampler {
    pub(super) fn new() -> Self {
        CallSampler {
            call_ratio: 1.0,
            mean_need: ExponentialMean::default(),
            is_counter_degraded: false,
        }
    }

    /// Part of the requests that call the counter.
    pub(super) fn call_ratio(&self) -> f64 {
        self.call_ratio
    }

    /// Records a request's need, the amount that it has for the counter as a part of the customer's refill in
    /// one window, and returns how it is sampled.
    pub(super) fn sample(&mut self, need: f64, frequency: CustomerFrequency) -> CallSampling {
        self.mean_need.record(need, NEED_SMOOTHING);
        let relative_need = need.max(MIN_NEED) / self.mean_need.value().max(MIN_NEED);
        match frequency {
            CustomerFrequency::Frequent => CallSampling {
                probability: (self.call_ratio * relative_need).min(1.0),
                weight: 1.0,
            },
            CustomerFrequency::Infrequent => {
                // No later call includes the units of a request without a call: one call stands for all like it.
                let probability = self.call_ratio.powf(1.0 / relative_need);
                CallSampling {
                    probability,
                    weight: 1.0 / probability.max(MIN_CALL_RATIO),
                }
            }
        }
    }

    /// Whether a request makes no call, by its sampling and a random number in 0..1.
    pub(super) fn is_call_skipped(&self, sampling: CallSampling, random_sample: f64) -> bool {
        self.call_ratio < 1.0 && random_sample >= sampling.probability
    }

    /// Whether a read of the previous window is left out, by a random number in 0..1.
    pub(super) fn is_read_skipped(&self, random_sample: f64) -> bool {
        random_sample >= self.call_ratio
    }

    /// Lowers the call ratio as replies approach the timeout or fail, and raises it while they are prompt.
    /// Returns the event where the counter became degraded or recovered.
    pub(super) fn record_reply(
        &mut self,
        reply: &CounterReply,
        timeout: Nanos,
    ) -> Option<LogEvent> {
        let part_of_timeout = reply.elapsed as f64 / timeout.max(1) as f64;
        let delay = if reply.outcome == Outcome::Good {
            part_of_timeout
        } else {
            1.0
        };
        let factor = (CALL_RATIO_GAIN * (TARGET_DELAY - delay)).exp();
        self.call_ratio = (self.call_ratio * factor).clamp(MIN_CALL_RATIO, 1.0);
        self.update_health()
    }

    fn update_health(&mut self) -> Option<LogEvent> {
        let threshold = if self.is_counter_degraded {
            RECOVERED_ABOVE
        } else {
            DEGRADED_BELOW
        };
        let is_degraded = self.call_ratio <= MIN_CALL_RATIO * threshold;
        if is_degraded == self.is_counter_degraded {
            return None;
        }
        self.is_counter_degraded = is_degraded;
        Some(if is_degraded {
            LogEvent::CounterDegraded
        } else {
            LogEvent::CounterRecovered
        })
    }

    pub(super) fn snapshot(&self) -> CounterCallsSnapshot {
        CounterCallsSnapshot {
            ratio: self.call_ratio,
            mean_need: self.mean_need.value(),
        }
    }

    /// Continues from a predecessor's snapshot.
    pub(super) fn restore(&mut self, snapshot: CounterCallsSnapshot) {
        self.call_ratio = valid_or(snapshot.ratio, MIN_CALL_RATIO, 1.0, self.call_ratio);
        let mean_need = valid_or(snapshot.mean_need, 0.0, MAX_UNITS, self.mean_need.value());
        self.mean_need = ExponentialMean::new(mean_need);
    }
}
