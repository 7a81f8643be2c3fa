//! Exponential decay.

use crate::api::Nanos;
use crate::time::to_seconds;

/// Returns the fraction of a quantity, in 0..=1, that remains after `elapsed` if the quantity falls by a factor
/// of e in `lifetime_seconds`.
pub(crate) fn remaining_fraction(elapsed: Nanos, lifetime_seconds: f64) -> f64 {
    (-to_seconds(elapsed) / lifetime_seconds).exp()
}
