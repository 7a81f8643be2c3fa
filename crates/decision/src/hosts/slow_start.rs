//! Slow start: the capacity of hosts that started recently.

use super::host::Host;
use crate::api::{Nanos, SlowStartSettings};

#[cfg(test)]
mod tests;

/// Answers below this multiple of the class's mean show a higher capacity than the host's age ...
const HEALTHY_LATENCY_SCORE: f64 = 1.5;
/// ... up to this factor, which with the part left to chance is less than half of an overload.
const MAX_MEASURED_GAIN: f64 = 2.0;
/// Number of answers from which on the measured latency counts.
const MIN_SAMPLE_WEIGHT: f64 = 2.0;

/// Slow-start progress of a host: the part of its full capacity that it has at least, in 0..=1. One: the host
/// is past slow start.
pub(super) fn progress(host: &Host, settings: &SlowStartSettings, now: Nanos) -> f64 {
    let age = now.saturating_sub(host.entry.started);
    let is_start_known = host.entry.started != 0;
    if !is_start_known || age >= settings.duration || settings.duration == 0 {
        return 1.0;
    }
    let progress = progress_by_age(age, settings) * measured_gain(host, now);
    progress.min(1.0)
}

/// Capacity by the time since the start: linear from the initial capacity to one.
fn progress_by_age(age: Nanos, settings: &SlowStartSettings) -> f64 {
    // Multiplied before divided: another order rounds otherwise.
    settings.initial_capacity
        + (1.0 - settings.initial_capacity) * age as f64 / settings.duration as f64
}

/// Factor on the capacity by age for a host that answers well. Hosts gain capacity by serving requests: by age
/// alone, one that serves few would stay slow.
fn measured_gain(host: &Host, now: Nanos) -> f64 {
    if host.latency.sample_weight(now) < MIN_SAMPLE_WEIGHT {
        return 1.0;
    }
    (HEALTHY_LATENCY_SCORE / host.latency.score()).clamp(1.0, MAX_MEASURED_GAIN)
}
