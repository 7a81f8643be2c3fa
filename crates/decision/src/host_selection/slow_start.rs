//! Slow start: the capacity of hosts that started recently.

use super::{Host, HostPool};
use crate::api::Nanos;

/// Answers below this multiple of the class's mean show a higher capacity than the host's age ...
const HEALTHY_SLOWNESS: f64 = 1.5;
/// ... up to this factor, which with the part left to chance is less than half of an overload.
const MAX_MEASURED_GAIN: f64 = 2.0;
/// Number of answers from which on the measured slowness counts.
const MIN_EVIDENCE: f64 = 2.0;

impl HostPool {
    /// Slow-start progress: the part of its capacity that a host has at least, by the time since its start.
    pub(super) fn slow_start_progress(&self, host: &Host) -> f64 {
        let age = self.now.saturating_sub(host.entry.started);
        let duration: Nanos = self.settings.slow_start.duration;
        if host.entry.started == 0 || age >= duration || duration == 0 {
            return 1.0;
        }
        let by_age = self.settings.slow_start.initial_capacity
            + (1.0 - self.settings.slow_start.initial_capacity) * age as f64 / duration as f64;
        // Hosts gain capacity by serving requests: by age alone, one that serves few would stay slow.
        let is_measured = host.evidence * self.remaining_evidence(host.measured_at) >= MIN_EVIDENCE;
        let gain = if is_measured {
            (HEALTHY_SLOWNESS / host.slowness).clamp(1.0, MAX_MEASURED_GAIN)
        } else {
            1.0
        };
        (by_age * gain).min(1.0)
    }

    /// Capacity of all ready hosts, as a number of hosts that are past slow start.
    pub(crate) fn ready_capacity(&self) -> f64 {
        let ready = self.hosts.values().filter(|host| host.is_ready());
        ready.map(|host| self.slow_start_progress(host)).sum()
    }
}
