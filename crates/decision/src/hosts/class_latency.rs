//! Mean answer time of each request class, over all hosts.

use crate::api::{Class, ClassIndex, Nanos};
use crate::primitives::WeightedMean;
use crate::time::to_nanos;

/// Maximum weight of a class's mean answer time, in samples of weight one.
pub(super) const MAX_CLASS_SAMPLES: f64 = 100.0;

/// Mean answer time of successful attempts for each class.
#[derive(Debug)]
pub(super) struct ClassLatencies {
    /// Means in seconds, by class index.
    means: Vec<WeightedMean>,
}

impl ClassLatencies {
    pub(super) fn new(class_count: usize) -> Self {
        ClassLatencies {
            means: vec![WeightedMean::default(); class_count],
        }
    }

    /// Returns the mean answer time of a class in seconds; zero before the first sample.
    pub(super) fn mean_seconds(&self, class: ClassIndex) -> f64 {
        self.means[class.as_usize()].value()
    }

    /// Returns the mean answer time of a class in nanoseconds; zero before the first sample.
    pub(super) fn mean(&self, class: ClassIndex) -> Nanos {
        to_nanos(self.mean_seconds(class))
    }

    pub(super) fn record(&mut self, class: ClassIndex, seconds: f64) {
        self.means[class.as_usize()].record(seconds, MAX_CLASS_SAMPLES);
    }

    /// Reorders the means after a change of the settings. Classes are matched by name; a new one starts without
    /// samples.
    pub(super) fn remap_classes(&mut self, previous: &[Class], current: &[Class]) {
        let mean_of = |class: &Class| {
            let index = previous.iter().rposition(|old| old.name == class.name);
            index.map_or_else(WeightedMean::default, |index| self.means[index])
        };
        self.means = current.iter().map(mean_of).collect();
    }

    /// Returns the means in seconds, by class index.
    pub(super) fn means(&self) -> &[WeightedMean] {
        &self.means
    }

    /// Sets the mean of a class, unless it has samples already.
    pub(super) fn restore(&mut self, class: usize, mean: WeightedMean) {
        if self.means[class].weight() == 0.0 {
            self.means[class] = mean;
        }
    }
}
