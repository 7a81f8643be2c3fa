//! Exponential decay.

use crate::api::Nanos;
use crate::time::to_seconds;

/// The part that is left of a quantity after `elapsed`, where it falls by a factor of e in `lifetime_seconds`.
/// In 0..=1.
pub(crate) fn remaining_fraction(elapsed: Nanos, lifetime_seconds: f64) -> f64 {
    (-to_seconds(elapsed) / lifetime_seconds).exp()
}
