//! Unix time from the system clock, which all processes on a machine share.

use crate::api::Nanos;
use std::time::SystemTime;

/// Returns the current Unix time in nanoseconds, or zero if the system clock is set to a time before 1970.
pub fn now() -> Nanos {
    SystemTime::UNIX_EPOCH
        .elapsed()
        .map_or(0, |age| age.as_nanos() as Nanos)
}
