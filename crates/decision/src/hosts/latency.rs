//! Latency scores: answer times of hosts and zones, relative to the mean of the request's class. They show
//! outliers, which get fewer attempts.

use crate::api::{Nanos, ZoneId};
use crate::primitives::{remaining_fraction, ExponentialMean, WeightedMean};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A zone's score counts like this many answers of the host itself.
const ZONE_SAMPLE_WEIGHT: f64 = 2.0;
/// A failure counts like an answer of this multiple of the class's mean.
pub(super) const FAILURE_LATENCY_SCORE: f64 = 5.0;
/// Upper bound of one sample.
pub(super) const MAX_LATENCY_SCORE: f64 = 2.0 * FAILURE_LATENCY_SCORE;
/// The weight of samples falls by a factor of e in this many seconds.
const SAMPLE_LIFETIME_SECONDS: f64 = 10.0;
/// Number of answers to which the weight of a host's samples grows at most.
pub(super) const MAX_SAMPLE_WEIGHT: f64 = 10.0;
/// Weight of one more answer in a zone's mean.
const ZONE_SMOOTHING: f64 = 0.1;

/// Whether a measured time is that of an answer or of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Measurement {
    Answer,
    Failure,
}

/// The score of one measured time. A failure counts as slow: hosts that answer nothing, or reject at once,
/// would else look idle.
pub(super) fn sample_score(seconds: f64, class_mean_seconds: f64, measurement: Measurement) -> f64 {
    let least = match measurement {
        Measurement::Answer => 0.0,
        Measurement::Failure => FAILURE_LATENCY_SCORE,
    };
    (seconds / class_mean_seconds)
        .max(least)
        .min(MAX_LATENCY_SCORE)
}

/// Answer times of one host. The weight of its samples decays, so that an old score yields to the zone's.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyScore {
    mean: WeightedMean,
    /// Time of the last answer.
    measured_at: Nanos,
}

impl LatencyScore {
    /// The score of a host without answers: that of the class's mean.
    pub(super) fn new(now: Nanos) -> Self {
        LatencyScore::from_parts(WeightedMean::new(1.0, 0.0), now)
    }

    pub(super) fn from_parts(mean: WeightedMean, measured_at: Nanos) -> Self {
        LatencyScore { mean, measured_at }
    }

    /// Mean answer time as a multiple of the class's mean.
    pub(super) fn score(&self) -> f64 {
        self.mean.value()
    }

    /// The mean with the weight that it had at the last answer.
    pub(super) fn mean(&self) -> WeightedMean {
        self.mean
    }

    pub(super) fn measured_at(&self) -> Nanos {
        self.measured_at
    }

    /// Number of answers that the score stands for at a time.
    pub(super) fn sample_weight(&self, now: Nanos) -> f64 {
        self.mean.weight() * remaining_fraction(now - self.measured_at, SAMPLE_LIFETIME_SECONDS)
    }

    pub(super) fn record(&mut self, sample: f64, now: Nanos) {
        let remaining = remaining_fraction(now - self.measured_at, SAMPLE_LIFETIME_SECONDS);
        self.mean.decay(remaining);
        self.mean.record(sample, MAX_SAMPLE_WEIGHT);
        self.measured_at = now;
    }

    /// The host's score, mixed with its zone's by the weights of their samples.
    pub(super) fn mixed_with_zone(&self, zone_score: f64, now: Nanos) -> f64 {
        let weight = self.sample_weight(now);
        (weight * self.score() + ZONE_SAMPLE_WEIGHT * zone_score) / (weight + ZONE_SAMPLE_WEIGHT)
    }
}

/// Answer times of one zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneLatency {
    /// Mean answer time as a multiple of the class's mean; failures count as slow.
    pub(super) score: f64,
    /// Time of the last answer.
    pub(super) measured_at: Nanos,
}

/// Latency scores of the zones that have answered.
#[derive(Debug, Default)]
pub(super) struct ZoneLatencies {
    zones: BTreeMap<ZoneId, ZoneLatency>,
}

impl ZoneLatencies {
    /// A zone's score, which returns to that of the mean with time: a zone that recovered from an outage would
    /// else get no requests.
    pub(super) fn score(&self, zone: ZoneId, now: Nanos) -> f64 {
        let Some(latency) = self.zones.get(&zone) else {
            return 1.0;
        };
        let remaining = remaining_fraction(now - latency.measured_at, SAMPLE_LIFETIME_SECONDS);
        1.0 + (latency.score - 1.0) * remaining
    }

    pub(super) fn record(&mut self, zone: ZoneId, sample: f64, now: Nanos) {
        let mut mean = ExponentialMean::new(self.score(zone, now));
        mean.record(sample, ZONE_SMOOTHING);
        let latency = ZoneLatency {
            score: mean.value(),
            measured_at: now,
        };
        self.zones.insert(zone, latency);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ZoneId, ZoneLatency)> + '_ {
        self.zones.iter().map(|(zone, latency)| (*zone, *latency))
    }

    /// Sets the latency of a zone that has not answered yet.
    pub(super) fn restore(&mut self, zone: ZoneId, latency: ZoneLatency) {
        self.zones.entry(zone).or_insert(latency);
    }
}
