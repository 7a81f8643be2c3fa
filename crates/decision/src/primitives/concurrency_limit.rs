//! Adaptive concurrency limit.

#[cfg(test)]
mod tests;

/// A limit on concurrent attempts that is adjusted by their results: additive increase, additive or
/// multiplicative decrease (AIMD). It is fractional, as the steps of one limiter among many are small.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new(limit: f64) -> Self {
        ConcurrencyLimit { limit }
    }

    /// Number of concurrent attempts.
    pub(crate) fn value(self) -> f64 {
        self.limit
    }

    /// Raises or lowers the limit by a step, but not below `least`.
    pub(crate) fn add(&mut self, step: f64, least: f64) {
        self.limit = (self.limit + step).max(least);
    }

    /// Lowers the limit to a part (0..=1) of it, but not below `least`.
    pub(crate) fn back_off(&mut self, factor: f64, least: f64) {
        self.limit = (self.limit * factor).max(least);
    }
}
