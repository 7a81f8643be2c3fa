//! Conversion between nanoseconds and seconds.

use crate::api::Nanos;

/// Nanoseconds in a second.
pub(crate) const SECOND: Nanos = 1_000_000_000;

const NANOS_PER_SECOND: f64 = 1e9;

/// A duration in seconds.
pub(crate) fn to_seconds(nanos: Nanos) -> f64 {
    nanos as f64 / NANOS_PER_SECOND
}

/// A duration in nanoseconds; a negative one becomes zero.
pub(crate) fn to_nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * NANOS_PER_SECOND) as Nanos
}
