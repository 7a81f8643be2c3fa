//! Slow start: capacity of hosts that started recently.

use super::host::Host;
use crate::api::{Nanos, SlowStartSettings};

#[cfg(test)]
mod tests;

/// Latency score below which a host has more capacity than its age suggests.
const PROMPT_LATENCY_SCORE: f64 = 1.5;
/// Upper bound of the factor by which a low latency score raises the capacity. With the margin for random
/// variation in host selection, it stays below half of an overload.
const MAX_MEASURED_GAIN: f64 = 2.0;
/// Minimum weight of a host's samples for its latency score to raise its capacity.
const MIN_SAMPLE_WEIGHT: f64 = 2.0;

/// Returns the slow-start progress of a host: the fraction of its full capacity that it has at least, in 0..=1.
/// The result is 1.0 for a host that is past slow start or has a start time of zero.
pub(super) fn progress(host: &Host, settings: &SlowStartSettings, now: Nanos) -> f64 {
    let age = now.saturating_sub(host.entry.started);
    let is_start_known = host.entry.started != 0;
    if !is_start_known || age >= settings.duration || settings.duration == 0 {
        return 1.0;
    }
    let progress = progress_by_age(age, settings) * measured_gain(host, now);
    progress.min(1.0)
}

/// Returns the capacity by the time since the start, which grows linearly from the initial capacity to one.
fn progress_by_age(age: Nanos, settings: &SlowStartSettings) -> f64 {
    // Multiplies before dividing, as another order rounds differently.
    settings.initial_capacity
        + (1.0 - settings.initial_capacity) * age as f64 / settings.duration as f64
}

/// Returns the factor on the capacity by age, above 1.0 for a host with a low latency score. Hosts gain
/// capacity by serving requests: by age alone, a host that gets few requests would stay slow.
fn measured_gain(host: &Host, now: Nanos) -> f64 {
    if host.latency.sample_weight(now) < MIN_SAMPLE_WEIGHT {
        return 1.0;
    }
    (PROMPT_LATENCY_SCORE / host.latency.score()).clamp(1.0, MAX_MEASURED_GAIN)
}
