//! Network delays, and the random variation of delays and work.

use crate::scenario::NetworkDelays;
use quartzcleat_decision::api::{Nanos, ZoneId};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Random variation of durations by factors from a log-normal distribution with mean 1.
#[derive(Debug)]
pub(crate) struct Variation {
    generator: Pcg64Mcg,
    distribution: Option<LogNormal<f64>>,
}

impl Variation {
    /// Creates a variation with this standard deviation of the factors' logarithm; 0 disables the variation.
    pub(crate) fn new(seed: u64, log_deviation: f64) -> Self {
        let distribution = LogNormal::new(-log_deviation * log_deviation / 2.0, log_deviation)
            .ok()
            .filter(|_| log_deviation > 0.0);
        Variation {
            generator: Pcg64Mcg::seed_from_u64(seed),
            distribution,
        }
    }

    /// Returns a random duration with this mean, in nanoseconds.
    pub(crate) fn vary(&mut self, mean: Nanos) -> Nanos {
        let factor = self
            .distribution
            .map_or(1.0, |distribution| distribution.sample(&mut self.generator));
        (mean as f64 * factor) as Nanos
    }
}

/// The network that connects the processes.
#[derive(Debug)]
pub(crate) struct Network {
    delays: NetworkDelays,
}

impl Network {
    pub(crate) fn new(delays: NetworkDelays) -> Self {
        Network { delays }
    }

    /// Returns a one-way delay between processes in two zones, in nanoseconds.
    pub(crate) fn delay_between(
        &self,
        from: ZoneId,
        to: ZoneId,
        variation: &mut Variation,
    ) -> Nanos {
        let mean = if from == to {
            self.delays.same_zone
        } else {
            self.delays.cross_zone
        };
        variation.vary(mean)
    }

    /// Returns a one-way delay to or from the counter, in nanoseconds.
    pub(crate) fn delay_to_counter(&self, variation: &mut Variation) -> Nanos {
        variation.vary(self.delays.counter)
    }
}
