//! Adaptive concurrency limit.

#[cfg(test)]
mod tests;

/// Limit on concurrent attempts that follows their results: additive increase, additive or multiplicative
/// decrease (AIMD). The limit is fractional because the steps of one limiter among many are small.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new(limit: f64) -> Self {
        ConcurrencyLimit { limit }
    }

    /// Returns the maximum number of concurrent attempts.
    pub(crate) fn value(self) -> f64 {
        self.limit
    }

    /// Raises or lowers the limit by a step, but not below `min`.
    pub(crate) fn add(&mut self, step: f64, min: f64) {
        self.limit = (self.limit + step).max(min);
    }

    /// Multiplies the limit by `factor` (0..=1), but does not lower it below `min`.
    pub(crate) fn back_off(&mut self, factor: f64, min: f64) {
        self.limit = (self.limit * factor).max(min);
    }
}
