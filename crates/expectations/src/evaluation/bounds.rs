//! Bounds of values, and how a violation of them reads.

use crate::requirement::Bounds;
use quartzcleat_config::quantity::format_duration;

/// Sums of units are exact to seven digits at the counter, not more.
const RELATIVE_TOLERANCE: f64 = 1e-6;
/// Numbers are shown to four decimal places.
const SHOWN_FRACTION: f64 = 1e4;

/// The quantity that a value measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unit {
    /// A number or a share.
    Number,
    /// A duration in nanoseconds.
    Nanoseconds,
}

impl Unit {
    fn show(self, value: f64) -> String {
        match self {
            Unit::Nanoseconds => format_duration(value.max(0.0) as u64),
            Unit::Number => format!("{}", (value * SHOWN_FRACTION).round() / SHOWN_FRACTION),
        }
    }
}

impl Bounds {
    /// How a value violates the bounds, where it does.
    pub(super) fn describe_violation(&self, value: f64, unit: Unit) -> Option<String> {
        let tolerance = RELATIVE_TOLERANCE * value.abs().max(1.0);
        let (relation, bound) = match (self.at_least, self.at_most) {
            (_, Some(at_most)) if value > at_most + tolerance => ("at most", at_most),
            (Some(at_least), _) if value < at_least - tolerance => ("at least", at_least),
            _ => return None,
        };
        let value = unit.show(value);
        let bound = unit.show(bound);
        Some(format!("{value}, {relation} {bound} expected"))
    }
}
