//! The monotonic clock that leases are measured by.

use quartzcleat_config::lease::ClockFault;
use quartzcleat_lease::Nanos;
use std::time::Duration;
use tokio::time::Instant;

/// The time since this process started, in the process's own rate.
///
/// A test may configure a wrong rate. Every decision of this process then sees it, which a clock that is changed from
/// outside the process could not achieve.
pub(super) struct LeaseClock {
    origin: Instant,
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

    /// The instant at which this clock shows a time.
    pub(super) fn instant_at(&self, time: Nanos) -> Instant {
        self.origin + Duration::from_nanos((time as f64 / self.rate) as Nanos)
    }
}
