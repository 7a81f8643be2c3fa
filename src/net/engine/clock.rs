//! The clock of the decision engine: monotonic Unix time.

use crate::api::Nanos;
use crate::net::unix_time;
use tokio::time::Instant;

/// A clock of Unix time in nanoseconds, read once from the system clock and advanced by the monotonic clock.
///
/// All limiters use Unix time so that their quota windows begin at the same moments. The monotonic clock keeps a step
/// of the system clock from shifting the windows.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The Unix time at `start`.
    unix_start: Nanos,
}

impl Clock {
    /// Creates a clock that starts at the current time of the system clock.
    pub fn new() -> Self {
        Clock {
            unix_start: unix_time::now(),
            start: Instant::now(),
        }
    }

    /// Returns the time at `moment`, in nanoseconds since the Unix epoch.
    pub fn at(&self, moment: Instant) -> Nanos {
        self.unix_start + moment.saturating_duration_since(self.start).as_nanos() as Nanos
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
