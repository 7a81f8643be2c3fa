//! Bounds of values that are read from a snapshot, which may be of another version or damaged.

/// Upper bound of restored units and of restored quotients of units.
pub(crate) const MAX_UNITS: f64 = 1e9;

/// Limits a restored value; one that is not finite is replaced.
pub(crate) fn valid_or(value: f64, min: f64, max: f64, fallback: f64) -> f64 {
    if value.is_finite() {
        value.clamp(min, max)
    } else {
        fallback
    }
}

/// Limits restored units; a value that is not finite becomes zero.
pub(crate) fn valid_units(units: f64) -> f64 {
    valid_or(units, 0.0, MAX_UNITS, 0.0)
}
