//! Load shedder, which adjusts the fraction of requests that is admitted to the delay of answers.

use crate::api::Nanos;
use crate::objective::PROMPT_OBJECTIVE_RATIO;
use crate::primitives::ExponentialMean;
use crate::time::to_seconds;

#[cfg(test)]
mod tests;

/// Lower bound of the admission ratio. Without any answers, recovery would not be detected.
pub(super) const MIN_ADMISSION_RATIO: f64 = 0.05;
/// Shortest interval that one answer stands for.
const MIN_ANSWER_INTERVAL_SECONDS: f64 = 0.02;
/// Longest interval that one answer stands for.
const MAX_ANSWER_INTERVAL_SECONDS: f64 = 5.0;
/// Weight of a new answer in the mean objective ratio of successful attempts.
const SUCCESS_SMOOTHING: f64 = 0.1;
/// Weight of a new request in the mean weight rate.
const WEIGHT_RATE_SMOOTHING: f64 = 0.1;

/// Admits a fraction of the requests, the admission ratio. The ratio falls while the mean answer takes longer
/// than [`PROMPT_OBJECTIVE_RATIO`] of its latency objective, and recovers to one while answers are prompt.
/// Requests with a higher priority weight per second of work are shed less.
#[derive(Debug)]
pub(crate) struct LoadShedder {
    /// Fraction of the requests that is admitted, in [`MIN_ADMISSION_RATIO`]..=1.
    pub(super) admission_ratio: f64,
    /// Mean answer time as a multiple of the latency objective, over about one second.
    pub(super) mean_objective_ratio: ExponentialMean,
    /// Time of the last answer in `mean_objective_ratio`.
    pub(super) measured_at: Nanos,
    /// Mean answer time of successful attempts, as a multiple of the latency objective limited to one.
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

    /// Returns the fraction of the requests that is admitted.
    pub(crate) fn admission_ratio(&self) -> f64 {
        self.admission_ratio
    }

    /// Records an arriving request's priority weight per second of work.
    pub(crate) fn record_arrival(&mut self, weight_rate: f64) {
        self.mean_weight_rate
            .record(weight_rate, WEIGHT_RATE_SMOOTHING);
    }

    /// Returns the probability that a request is admitted: the admission ratio raised to the quotient of the
    /// mean weight rate and the request's own. `None` if no load is shed.
    pub(crate) fn admission_probability(&self, weight_rate: f64) -> Option<f64> {
        let exponent = self.mean_weight_rate.value() / weight_rate;
        (self.admission_ratio < 1.0).then(|| self.admission_ratio.powf(exponent))
    }

    /// Records how long an answer took, as a multiple of its latency objective.
    pub(crate) fn record_answer(&mut self, objective_ratio: f64, now: Nanos) {
        // Answers are few at a low admission ratio, so each stands for the interval before it.
        let since_last = to_seconds(now - self.measured_at);
        let interval = since_last.min(MAX_ANSWER_INTERVAL_SECONDS);
        self.measured_at = now;
        let smoothing = 1.0 - (-interval.max(MIN_ANSWER_INTERVAL_SECONDS)).exp();
        self.mean_objective_ratio.record(objective_ratio, smoothing);
        let mean = self.mean_objective_ratio.value();
        let change = interval * (PROMPT_OBJECTIVE_RATIO - mean);
        // Limits the decrease to that of one second with a mean at the objective or beyond it.
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

    /// Returns the objective ratio that is recorded for an attempt without an answer by its objective. It is
    /// proportional to that of successful attempts, up to one: while these are prompt, hosts are not overloaded,
    /// and shedding would neither recover lost answers nor revive dead hosts. The reaction is late if all hosts
    /// stop at once.
    pub(crate) fn missed_objective_ratio(&self) -> f64 {
        (self.success_objective_ratio.value() / PROMPT_OBJECTIVE_RATIO).min(1.0)
    }
}
