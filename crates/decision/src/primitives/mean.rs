//! Running means.

#[cfg(test)]
mod tests;

/// Exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ExponentialMean {
    value: f64,
}

impl ExponentialMean {
    pub(crate) fn new(value: f64) -> Self {
        ExponentialMean { value }
    }

    pub(crate) fn value(self) -> f64 {
        self.value
    }

    /// Moves the mean towards a sample by the part `smoothing` (0..=1) of their difference.
    pub(crate) fn record(&mut self, sample: f64, smoothing: f64) {
        self.value += smoothing * (sample - self.value);
    }
}

/// Arithmetic mean of samples whose total weight is bounded and may decay, so that late samples count more
/// than early ones. Invariant: the weight is between zero and the bound of the last sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WeightedMean {
    value: f64,
    weight: f64,
}

impl WeightedMean {
    pub(crate) fn new(value: f64, weight: f64) -> Self {
        WeightedMean { value, weight }
    }

    pub(crate) fn value(self) -> f64 {
        self.value
    }

    /// Number of samples that the mean stands for.
    pub(crate) fn weight(self) -> f64 {
        self.weight
    }

    /// Reduces the weight of the samples so far to a part (0..=1) of it.
    pub(crate) fn decay(&mut self, remaining: f64) {
        self.weight *= remaining;
    }

    /// Adds a sample of weight one. The total weight grows to `max_weight` at most.
    pub(crate) fn record(&mut self, sample: f64, max_weight: f64) {
        self.weight = (self.weight + 1.0).min(max_weight);
        self.value += (sample - self.value) / self.weight;
    }
}
