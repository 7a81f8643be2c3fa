//! The monotonic clock by which lease durations are measured.

use quartzcleat_config::lease::ClockFault;
use quartzcleat_lease::Nanos;
use std::time::Duration;
use tokio::time::Instant;

/// A monotonic clock that counts from its creation, with an optional rate error.
///
/// Tests configure a rate error to simulate clock drift. It is injected here because the clock of a single process
/// cannot be changed from outside, and every decision of this process must see the same rate.
pub(super) struct LeaseClock {
    origin: Instant,
    /// Nanoseconds that this clock advances per nanosecond of the system's monotonic clock; 1.0 without a fault.
    rate: f64,
}

impl LeaseClock {
    pub(super) fn new(fault: ClockFault) -> Self {
        LeaseClock {
            origin: Instant::now(),
            rate: 1.0 + fault.rate_error_per_mille as f64 / 1_000.0,
        }
    }

    pub(super) fn now(&self) -> Nanos {
        (self.origin.elapsed().as_nanos() as f64 * self.rate) as Nanos
    }

    /// Returns the instant at which this clock shows `time`.
    pub(super) fn instant_at(&self, time: Nanos) -> Instant {
        self.origin + Duration::from_nanos((time as f64 / self.rate) as Nanos)
    }
}
