//! The check of a value against its bounds, and the description of a violation.

use crate::requirement::Bounds;
use quartzcleat_config::quantity::format_duration;

/// Relative tolerance of a bound: sums of units at the counter are exact to seven digits only.
const RELATIVE_TOLERANCE: f64 = 1e-6;
/// Numbers are rounded to four decimal places for display.
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
    /// Describes how a value violates the bounds, or returns `None` if it lies within them.
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
