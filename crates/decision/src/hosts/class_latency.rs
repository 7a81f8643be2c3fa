//! Mean answer time of each request class, over all hosts.

use crate::api::{Class, ClassIndex, Nanos};
use crate::primitives::WeightedMean;
use crate::time::to_nanos;

/// Number of answers in the mean answer time of a class.
pub(super) const MAX_CLASS_ANSWERS: f64 = 100.0;

/// Mean answer time of each class, in seconds, by class index. Successful attempts only.
#[derive(Debug)]
pub(super) struct ClassLatencies {
    means: Vec<WeightedMean>,
}

impl ClassLatencies {
    pub(super) fn new(class_count: usize) -> Self {
        ClassLatencies {
            means: vec![WeightedMean::default(); class_count],
        }
    }

    /// Mean answer time in seconds; zero before the first answer.
    pub(super) fn mean_seconds(&self, class: ClassIndex) -> f64 {
        self.means[class.as_usize()].value()
    }

    /// Mean answer time; zero before the first answer.
    pub(super) fn mean(&self, class: ClassIndex) -> Nanos {
        to_nanos(self.mean_seconds(class))
    }

    pub(super) fn record(&mut self, class: ClassIndex, seconds: f64) {
        self.means[class.as_usize()].record(seconds, MAX_CLASS_ANSWERS);
    }

    /// Follows a change of the settings: a class keeps its mean by its name.
    pub(super) fn follow_classes(&mut self, previous: &[Class], current: &[Class]) {
        let mean_of = |class: &Class| {
            let index = previous.iter().rposition(|old| old.name == class.name);
            index.map_or_else(WeightedMean::default, |index| self.means[index])
        };
        self.means = current.iter().map(mean_of).collect();
    }

    /// The means in the order of the classes.
    pub(super) fn means(&self) -> &[WeightedMean] {
        &self.means
    }

    /// Sets the mean of a class that has no answer yet.
    pub(super) fn restore(&mut self, class: usize, mean: WeightedMean) {
        if self.means[class].weight() == 0.0 {
            self.means[class] = mean;
        }
    }
}
