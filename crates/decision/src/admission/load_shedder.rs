//! Load shedder: the part of the requests that is admitted, adjusted by how late answers come.

use crate::api::Nanos;
use crate::objective::PROMPT_OBJECTIVE_RATIO;
use crate::primitives::ExponentialMean;
use crate::time::to_seconds;

#[cfg(test)]
mod tests;

/// Lower bound of the admission ratio: without any answers its recovery would not be noticed.
pub(super) const MIN_ADMISSION_RATIO: f64 = 0.05;
/// Shortest and longest interval that one answer stands for.
const MIN_ANSWER_INTERVAL_SECONDS: f64 = 0.02;
const MAX_ANSWER_INTERVAL_SECONDS: f64 = 5.0;
/// Weight of one more answer in the mean objective ratio of successful attempts.
const SUCCESS_SMOOTHING: f64 = 0.1;
/// Weight of one more request in the mean weight rate.
const WEIGHT_RATE_SMOOTHING: f64 = 0.1;

/// Admits a part of the requests, the admission ratio. The ratio falls while the mean answer takes longer than
/// [`PROMPT_OBJECTIVE_RATIO`] of its latency objective, and rises to one again while answers are prompt.
/// Requests with more priority weight for their work are shed less.
#[derive(Debug)]
pub(crate) struct LoadShedder {
    /// Part of the requests that is admitted, in [`MIN_ADMISSION_RATIO`]..=1.
    pub(super) admission_ratio: f64,
    /// Mean answer time as a multiple of the latency objective, over about one second.
    pub(super) mean_objective_ratio: ExponentialMean,
    /// Time of the last answer in `mean_objective_ratio`.
    pub(super) measured_at: Nanos,
    /// The same mean over successful attempts alone.
    pub(super) success_objective_ratio: ExponentialMean,
    /// Mean priority weight per second of work, over all requests that arrived.
    pub(super) mean_weight_rate: ExponentialMean,
}

impl LoadShedder {
    pub(crate) fn new(now: Nanos) -> Self {
        LoadShedder {
            admission_ratio: 1.0,
            mean_objective_ratio: ExponentialMean::default(),
            measured_at: now,
            success_objective_ratio: ExponentialMean::default(),
            mean_weight_rate: ExponentialMean::default(),
        }
    }

    /// Part of the requests that is admitted.
    pub(crate) fn admission_ratio(&self) -> f64 {
        self.admission_ratio
    }

    /// Records an arriving request's priority weight per second of work.
    pub(crate) fn record_arrival(&mut self, weight_rate: f64) {
        self.mean_weight_rate
            .record(weight_rate, WEIGHT_RATE_SMOOTHING);
    }

    /// Probability of admission of a request: the admission ratio to the power of the mean weight rate over the
    /// request's own. `None`: nothing is shed.
    pub(crate) fn admission_probability(&self, weight_rate: f64) -> Option<f64> {
        let exponent = self.mean_weight_rate.value() / weight_rate;
        (self.admission_ratio < 1.0).then(|| self.admission_ratio.powf(exponent))
    }

    /// Records how long an answer took, as a multiple of its latency objective.
    pub(crate) fn record_answer(&mut self, objective_ratio: f64, now: Nanos) {
        // With a low admission ratio few answers come: each stands for the interval before it.
        let since_last = to_seconds(now - self.measured_at);
        let interval = since_last.min(MAX_ANSWER_INTERVAL_SECONDS);
        self.measured_at = now;
        let smoothing = 1.0 - (-interval.max(MIN_ANSWER_INTERVAL_SECONDS)).exp();
        self.mean_objective_ratio.record(objective_ratio, smoothing);
        let mean = self.mean_objective_ratio.value();
        let change = interval * (PROMPT_OBJECTIVE_RATIO - mean);
        // A late mean lowers the logarithm of the ratio by no more than within one second.
        let largest_decrease = PROMPT_OBJECTIVE_RATIO - mean.max(1.0);
        let factor = change.max(largest_decrease).exp();
        self.admission_ratio = (self.admission_ratio * factor).clamp(MIN_ADMISSION_RATIO, 1.0);
    }

    /// Records how long a successful attempt took, as a multiple of its latency objective.
    pub(crate) fn record_success(&mut self, objective_ratio: f64) {
        let sample = objective_ratio.min(1.0);
        self.success_objective_ratio
            .record(sample, SUCCESS_SMOOTHING);
    }

    /// The objective ratio that an attempt without an answer by its objective counts as. Where successful
    /// attempts are prompt, hosts are not overloaded, and shedding would bring back neither lost answers nor
    /// dead hosts: the attempt then counts by theirs. This reacts late if all hosts stop at once.
    pub(crate) fn missed_objective_ratio(&self) -> f64 {
        (self.success_objective_ratio.value() / PROMPT_OBJECTIVE_RATIO).min(1.0)
    }
}
