//! Sampling of the requests that call the counter. More calls than it can answer in time would lengthen its
//! queue.

use super::counter_calls::CounterReply;
use crate::api::{LogEvent, Nanos, Outcome};
use crate::primitives::ExponentialMean;
use crate::snapshot::{valid_or, CounterCallsSnapshot, MAX_UNITS};

#[cfg(test)]
mod tests;

/// Target delay of counter replies, as a fraction of the timeout.
const TARGET_DELAY: f64 = 0.65;
/// Change of the logarithm of the call ratio with one reply, per unit of its distance from [`TARGET_DELAY`].
const CALL_RATIO_GAIN: f64 = 0.5;
/// Lower bound of the call ratio. The recovery of a failed counter shows only in its replies.
const MIN_CALL_RATIO: f64 = 0.1;
/// Multiple of [`MIN_CALL_RATIO`] at or below which the counter is logged as degraded.
const DEGRADED_BELOW: f64 = 2.0;
/// Multiple of [`MIN_CALL_RATIO`] above which the counter is logged as recovered.
const RECOVERED_ABOVE: f64 = 4.0;
/// Weight of a new request in the mean need.
const NEED_SMOOTHING: f64 = 0.1;
/// Lower bound of needs in a quotient, which avoids a division by zero.
const MIN_NEED: f64 = 1e-9;

/// Frequency of a customer's requests at this limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CustomerFrequency {
    /// A later call soon includes the units of a request that makes no call.
    Frequent,
    /// The next call may be too late to include the units of a request that makes no call.
    Infrequent,
}

/// How a request is sampled for a counter call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallSampling {
    /// Probability of a call, in 0..=1.
    pub(super) probability: f64,
    /// Number of similar requests that a call represents, including the request itself.
    pub(super) weight: f64,
}

/// Selects at random the requests that call the counter. The call ratio, the fraction of the requests that
/// call it, follows the delay of its replies. A request that would add a large amount calls the counter more
/// often than one that would add a small amount, because a total is wrong by the units that are missing from
/// it.
#[derive(Debug)]
pub(super) struct CallSampler {
    /// Fraction of the requests that call the counter, in [`MIN_CALL_RATIO`]..=1.
    call_ratio: f64,
    /// Mean need of the requests, as defined by [`sample`](Self::sample).
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

    /// Returns the fraction of the requests that call the counter.
    pub(super) fn call_ratio(&self) -> f64 {
        self.call_ratio
    }

    /// Records a request's need and returns how the request is sampled. The need is the amount that the request
    /// would add to its count, as a fraction of the customer's refill in one window.
    pub(super) fn sample(&mut self, need: f64, frequency: CustomerFrequency) -> CallSampling {
        self.mean_need.record(need, NEED_SMOOTHING);
        let relative_need = need.max(MIN_NEED) / self.mean_need.value().max(MIN_NEED);
        match frequency {
            CustomerFrequency::Frequent => CallSampling {
                probability: (self.call_ratio * relative_need).min(1.0),
                weight: 1.0,
            },
            CustomerFrequency::Infrequent => {
                // No later call includes the units of skipped requests, so one call represents them as well.
                let probability = self.call_ratio.powf(1.0 / relative_need);
                CallSampling {
                    probability,
                    weight: 1.0 / probability.max(MIN_CALL_RATIO),
                }
            }
        }
    }

    /// Returns whether a request makes no call, given its sampling and a random number in 0..1.
    pub(super) fn is_call_skipped(&self, sampling: CallSampling, random_sample: f64) -> bool {
        self.call_ratio < 1.0 && random_sample >= sampling.probability
    }

    /// Returns whether a read of the previous window is skipped, given a random number in 0..1.
    pub(super) fn is_read_skipped(&self, random_sample: f64) -> bool {
        random_sample >= self.call_ratio
    }

    /// Lowers the call ratio when a reply fails or exceeds [`TARGET_DELAY`], and raises it when a reply is
    /// faster. Returns a log event if the counter has become degraded or has recovered.
    pub(super) fn record_reply(
        &mut self,
        reply: &CounterReply,
        timeout: Nanos,
    ) -> Option<LogEvent> {
        let timeout_fraction = reply.elapsed as f64 / timeout.max(1) as f64;
        let delay = if reply.outcome == Outcome::Good {
            timeout_fraction
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

    /// Restores the state from a predecessor's snapshot.
    pub(super) fn restore(&mut self, snapshot: CounterCallsSnapshot) {
        self.call_ratio = valid_or(snapshot.ratio, MIN_CALL_RATIO, 1.0, self.call_ratio);
        let mean_need = valid_or(snapshot.mean_need, 0.0, MAX_UNITS, self.mean_need.value());
        self.mean_need = ExponentialMean::new(mean_need);
    }
}
