//! Snapshot and restore of the hosts' measurements.

use super::class_latency::MAX_CLASS_SAMPLES;
use super::host::Host;
use super::latency::{LatencyScore, ZoneLatency, MAX_LATENCY_SCORE, MAX_SAMPLE_WEIGHT};
use super::limits::MIN_HOST_LIMIT;
use super::HostPool;
use crate::api::{Class, HostId, Nanos, ZoneId};
use crate::primitives::{ConcurrencyLimit, WeightedMean};
use crate::snapshot::{
    valid_or, ClassSnapshot, EngineSnapshot, HostSnapshot, LatencyScoreSnapshot, ZoneSnapshot,
};

/// Lower bound of a restored concurrency limit over all hosts, in attempts per host.
const MIN_POOL_LIMIT: f64 = 0.1;
/// Upper bound of restored concurrency limits, in attempts.
const MAX_CONCURRENCY: f64 = 1e3;
/// Upper bound of a restored mean answer time, in seconds.
const MAX_LATENCY_SECONDS: f64 = 1e3;

impl HostPool {
    /// Returns the mean answer times of the classes, in the order of the settings.
    pub(crate) fn class_snapshots(&self, classes: &[Class]) -> Vec<ClassSnapshot> {
        let classes = classes.iter().zip(self.class_latencies.means());
        classes
            .map(|(class, mean)| ClassSnapshot {
                name: class.name.clone(),
                mean_latency: mean.value(),
                answers: mean.weight(),
            })
            .collect()
    }

    /// Returns the measurements of all known hosts, in the order of their ids.
    pub(crate) fn host_snapshots(&self) -> Vec<HostSnapshot> {
        self.hosts()
            .map(|(id, host)| host_snapshot(id, host))
            .collect()
    }

    /// Returns the latency scores of the zones that have samples.
    pub(crate) fn zone_snapshots(&self) -> Vec<ZoneSnapshot> {
        let zones = self.zone_latencies.iter();
        zones
            .map(|(zone, latency)| ZoneSnapshot {
                zone: zone.0,
                score: latency.score,
                measured_at: latency.measured_at,
            })
            .collect()
    }

    /// Restores the measurements from a predecessor's snapshot. Means of classes and scores of zones that this
    /// limiter has measured itself are kept.
    pub(crate) fn restore(&mut self, snapshot: &EngineSnapshot, classes: &[Class], now: Nanos) {
        let limit = self.concurrency_limit.value();
        let limit = valid_or(
            snapshot.concurrency_limit,
            MIN_POOL_LIMIT,
            MAX_CONCURRENCY,
            limit,
        );
        self.concurrency_limit = ConcurrencyLimit::new(limit);
        for class in &snapshot.classes {
            self.restore_class(class, classes);
        }
        for host in &snapshot.hosts {
            self.restore_host(host, now);
        }
        for zone in &snapshot.zones {
            self.restore_zone(zone, now);
        }
    }

    /// Restores the mean answer time of a class, identified by its name.
    fn restore_class(&mut self, class: &ClassSnapshot, classes: &[Class]) {
        let index = classes.iter().rposition(|known| known.name == class.name);
        let Some(index) = index else { return };
        let mean = valid_or(class.mean_latency, 0.0, MAX_LATENCY_SECONDS, 0.0);
        let answers = valid_or(class.answers, 0.0, MAX_CLASS_SAMPLES, 0.0);
        self.class_latencies
            .restore(index, WeightedMean::new(mean, answers));
    }

    /// Restores the measurements of a host, unless its process has restarted since.
    fn restore_host(&mut self, snapshot: &HostSnapshot, now: Nanos) {
        let Some(host) = self.host_mut(HostId(snapshot.host)) else {
            return;
        };
        if host.entry.started != snapshot.started {
            return;
        }
        let latency = &snapshot.latency;
        let score = valid_or(latency.score, 0.0, MAX_LATENCY_SCORE, 1.0);
        let weight = valid_or(latency.sample_weight, 0.0, MAX_SAMPLE_WEIGHT, 0.0);
        host.latency = LatencyScore::from_parts(
            WeightedMean::new(score, weight),
            latency.measured_at.min(now),
        );
        let limit = host.concurrency_limit.value();
        let limit = valid_or(
            snapshot.concurrency_limit,
            MIN_HOST_LIMIT,
            MAX_CONCURRENCY,
            limit,
        );
        host.concurrency_limit = ConcurrencyLimit::new(limit);
    }

    fn restore_zone(&mut self, snapshot: &ZoneSnapshot, now: Nanos) {
        let latency = ZoneLatency {
            score: valid_or(snapshot.score, 0.0, MAX_LATENCY_SCORE, 1.0),
            measured_at: snapshot.measured_at.min(now),
        };
        self.zone_latencies.restore(ZoneId(snapshot.zone), latency);
    }
}

fn host_snapshot(id: HostId, host: &Host) -> HostSnapshot {
    HostSnapshot {
        host: id.0,
        started: host.entry.started,
        latency: LatencyScoreSnapshot {
            score: host.latency.score(),
            sample_weight: host.latency.mean().weight(),
            measured_at: host.latency.measured_at(),
        },
        concurrency_limit: host.concurrency_limit.value(),
    }
}
