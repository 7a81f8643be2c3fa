//! Random values in the distributions that deployments need.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded source of random values.
pub(super) struct Random(pub Pcg64Mcg);

impl Random {
    /// The source of a seed.
    pub(super) fn from_seed(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A value between two bounds, uniformly.
    pub(super) fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.random::<f64>()
    }

    /// A value between two bounds, uniformly over orders of magnitude.
    pub(super) fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        self.uniform(low.ln(), high.ln()).exp()
    }

    /// A count between two bounds, the last one included, uniformly over orders of magnitude.
    pub(super) fn count(&mut self, low: u32, high: u32) -> u32 {
        self.log_uniform(f64::from(low), f64::from(high) + 0.999) as u32
    }

    /// One of some values.
    pub(super) fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.0.random_range(0..values.len())]
    }

    /// True with a probability.
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }
}
