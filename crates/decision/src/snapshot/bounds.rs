//! Bounds of values that are restored from a snapshot, which may be damaged or from another version.

/// Upper bound of restored units and ratios of units.
pub(crate) const MAX_UNITS: f64 = 1e9;

/// Returns a restored value limited to `min..=max`, or `fallback` if the value is not finite.
pub(crate) fn valid_or(value: f64, min: f64, max: f64, fallback: f64) -> f64 {
    if value.is_finite() {
        value.clamp(min, max)
    } else {
        fallback
    }
}

/// Returns restored units limited to 0..=[`MAX_UNITS`], or zero if the value is not finite.
pub(crate) fn valid_units(units: f64) -> f64 {
    valid_or(units, 0.0, MAX_UNITS, 0.0)
}
