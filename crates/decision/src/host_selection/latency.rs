//! Measured slowness of hosts and zones.

use super::{HostPool, InFlightAttempt, Measurement, ZoneSlowness};
use crate::api::{Nanos, ZoneId};
use crate::units::to_seconds;

/// A zone's slowness counts like this many answers of the host itself.
pub(super) const ZONE_EVIDENCE: f64 = 2.0;
/// A failure counts like an answer of this multiple of the class's mean.
pub(super) const FAILURE_SLOWNESS: f64 = 5.0;
/// Evidence falls by a factor of e in this many seconds.
const EVIDENCE_LIFETIME_SECONDS: f64 = 10.0;
/// Number of answers to which a host's evidence grows at most.
const MAX_EVIDENCE: f64 = 10.0;
/// Weight of one more answer in a zone's mean.
const ZONE_SMOOTHING: f64 = 0.1;

impl HostPool {
    /// Part of the evidence measured at a time that is still valid.
    pub(super) fn remaining_evidence(&self, measured_at: Nanos) -> f64 {
        (-to_seconds(self.now - measured_at) / EVIDENCE_LIFETIME_SECONDS).exp()
    }

    /// A zone's slowness, which fades: a zone that recovered from an outage would else get no requests.
    pub(super) fn faded_zone_slowness(&self, zone: ZoneId) -> f64 {
        let Some(slowness) = self.zone_slowness.get(&zone) else {
            return 1.0;
        };
        1.0 + (slowness.value - 1.0) * self.remaining_evidence(slowness.measured_at)
    }

    /// Records an answer time, or the lack of an answer by the objective, at the attempt's host and zone. A
    /// failure counts as slow: hosts that answer nothing, or reject at once, would else look idle.
    pub(crate) fn record_latency(
        &mut self,
        attempt: &InFlightAttempt,
        elapsed: Nanos,
        measurement: Measurement,
    ) {
        let mean = self.class_latency[attempt.class].mean;
        let Some(host) = self.hosts.get(&attempt.host) else {
            return;
        };
        let remaining = self.remaining_evidence(host.measured_at);
        let zone = host.entry.zone;
        let zone_slowness = self.faded_zone_slowness(zone);
        let least = if measurement == Measurement::Failure {
            FAILURE_SLOWNESS
        } else {
            0.0
        };
        let slowness = (to_seconds(elapsed) / mean)
            .max(least)
            .min(2.0 * FAILURE_SLOWNESS);
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&attempt.host).filter(|_| mean > 0.0) else {
            return;
        };
        host.evidence = (host.evidence * remaining + 1.0).min(MAX_EVIDENCE);
        host.slowness += (slowness - host.slowness) / host.evidence;
        host.measured_at = now;
        let value = zone_slowness + ZONE_SMOOTHING * (slowness - zone_slowness);
        self.zone_slowness.insert(
            zone,
            ZoneSlowness {
                value,
                measured_at: now,
            },
        );
    }
}
