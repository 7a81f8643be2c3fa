//! Conversion between nanoseconds and seconds.

use crate::api::Nanos;

/// Number of nanoseconds in a second.
pub(crate) const SECOND: Nanos = 1_000_000_000;

const NANOS_PER_SECOND: f64 = 1e9;

/// Converts a duration to seconds.
pub(crate) fn to_seconds(nanos: Nanos) -> f64 {
    nanos as f64 / NANOS_PER_SECOND
}

/// Converts a duration in seconds to nanoseconds. A negative duration becomes zero.
pub(crate) fn to_nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * NANOS_PER_SECOND) as Nanos
}
