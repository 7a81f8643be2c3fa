//! Latency scores: answer times of hosts and zones relative to the mean of the request's class. Hosts and
//! zones with a high score get fewer attempts.

use crate::api::{Nanos, ZoneId};
use crate::primitives::{remaining_fraction, ExponentialMean, WeightedMean};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Weight of a zone's score against the host's own samples, in samples.
const ZONE_SAMPLE_WEIGHT: f64 = 2.0;
/// Minimum score of a failure, as a multiple of the class's mean answer time.
pub(super) const FAILURE_LATENCY_SCORE: f64 = 5.0;
/// Upper bound of a sample, as a multiple of the class's mean answer time.
pub(super) const MAX_LATENCY_SCORE: f64 = 2.0 * FAILURE_LATENCY_SCORE;
/// Time in which the weight of samples falls by a factor of e, in seconds.
const SAMPLE_LIFETIME_SECONDS: f64 = 10.0;
/// Maximum weight of a host's score, in samples of weight one.
pub(super) const MAX_SAMPLE_WEIGHT: f64 = 10.0;
/// Smoothing factor of a zone's score, in 0..=1.
const ZONE_SMOOTHING: f64 = 0.1;

/// Kind of a latency sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Measurement {
    /// Time to a successful answer.
    Answer,
    /// Time to a failure, to a rejection or to a missed latency objective.
    Failure,
}

/// Returns the score of one measured time. A failure counts as slow, as hosts that never answer or that
/// reject immediately would otherwise look idle.
pub(super) fn sample_score(seconds: f64, class_mean_seconds: f64, measurement: Measurement) -> f64 {
    let minimum = match measurement {
        Measurement::Answer => 0.0,
        Measurement::Failure => FAILURE_LATENCY_SCORE,
    };
    (seconds / class_mean_seconds)
        .max(minimum)
        .min(MAX_LATENCY_SCORE)
}

/// Latency score of one host. The weight of its samples decays, so that the zone's score replaces a host's old one.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyScore {
    /// Mean of the samples, with the weight that it had at `measured_at`.
    mean: WeightedMean,
    /// Time of the last sample.
    measured_at: Nanos,
}

impl LatencyScore {
    /// Creates the score of a host without samples: 1.0, the class's mean.
    pub(super) fn new(now: Nanos) -> Self {
        LatencyScore::from_parts(WeightedMean::new(1.0, 0.0), now)
    }

    pub(super) fn from_parts(mean: WeightedMean, measured_at: Nanos) -> Self {
        LatencyScore { mean, measured_at }
    }

    /// Returns the mean answer time as a multiple of the class's mean.
    pub(super) fn score(&self) -> f64 {
        self.mean.value()
    }

    /// Returns the mean of the samples, with the weight that it had at the last sample.
    pub(super) fn mean(&self) -> WeightedMean {
        self.mean
    }

    pub(super) fn measured_at(&self) -> Nanos {
        self.measured_at
    }

    /// Returns the decayed weight of the samples at `now`.
    pub(super) fn sample_weight(&self, now: Nanos) -> f64 {
        self.mean.weight() * remaining_fraction(now - self.measured_at, SAMPLE_LIFETIME_SECONDS)
    }

    pub(super) fn record(&mut self, sample: f64, now: Nanos) {
        let remaining = remaining_fraction(now - self.measured_at, SAMPLE_LIFETIME_SECONDS);
        self.mean.decay(remaining);
        self.mean.record(sample, MAX_SAMPLE_WEIGHT);
        self.measured_at = now;
    }

    /// Returns the mean of the host's score and its zone's, weighted by their samples.
    pub(super) fn mixed_with_zone(&self, zone_score: f64, now: Nanos) -> f64 {
        let weight = self.sample_weight(now);
        (weight * self.score() + ZONE_SAMPLE_WEIGHT * zone_score) / (weight + ZONE_SAMPLE_WEIGHT)
    }
}

/// Latency score of one zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneLatency {
    /// Mean answer time as a multiple of the class's mean; failures count as slow.
    pub(super) score: f64,
    /// Time of the last sample.
    pub(super) measured_at: Nanos,
}

/// Latency scores of the zones that have samples.
#[derive(Debug, Default)]
pub(super) struct ZoneLatencies {
    zones: BTreeMap<ZoneId, ZoneLatency>,
}

impl ZoneLatencies {
    /// Returns a zone's score at `now`. It decays to 1.0, as a zone that recovered from an outage would
    /// otherwise get no requests.
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

    /// Sets the score of a zone, unless it has samples already.
    pub(super) fn restore(&mut self, zone: ZoneId, latency: ZoneLatency) {
        self.zones.entry(zone).or_insert(latency);
    }
}
