//! Unix time by the system's clock, which two processes on one machine share.

use crate::api::Nanos;
use std::time::SystemTime;

/// The Unix time of this moment, in nanoseconds; zero where the system's clock stands before 1970.
pub fn now() -> Nanos {
    SystemTime::UNIX_EPOCH
        .elapsed()
        .map_or(0, |age| age.as_nanos() as Nanos)
}
