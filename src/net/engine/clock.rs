//! The clock of the decision engine: Unix time that never goes back.

use crate::api::Nanos;
use crate::net::unix_time;
use tokio::time::Instant;

/// Unix time in nanoseconds, read once from the system and advanced by the monotonic clock.
///
/// All limiters use Unix time, so they cut quota windows at the same moments; the monotonic clock keeps a step of the
/// system's clock from moving them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The Unix time at `start`.
    unix_start: Nanos,
}

impl Clock {
    /// A clock that starts from the system's time.
    pub fn new() -> Self {
        Clock {
            unix_start: unix_time::now(),
            start: Instant::now(),
        }
    }

    /// The time at `moment`, in nanoseconds since the Unix epoch.
    pub fn at(&self, moment: Instant) -> Nanos {
        self.unix_start + moment.saturating_duration_since(self.start).as_nanos() as Nanos
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
