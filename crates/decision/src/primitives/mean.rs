//! Exponentially weighted and bounded running means.

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

    /// Moves the mean towards a sample by the fraction `smoothing` (0..=1) of their difference.
    pub(crate) fn record(&mut self, sample: f64, smoothing: f64) {
        self.value += smoothing * (sample - self.value);
    }
}

/// Arithmetic mean of samples whose total weight is bounded and may decay, so that recent samples count more
/// than earlier ones. Invariant: the weight is between zero and the bound of the last sample.
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

    /// Returns the total weight of the samples in the mean, where a new sample has weight one.
    pub(crate) fn weight(self) -> f64 {
        self.weight
    }

    /// Multiplies the weight of the samples so far by `remaining` (0..=1).
    pub(crate) fn decay(&mut self, remaining: f64) {
        self.weight *= remaining;
    }

    /// Adds a sample of weight one. The total weight is limited to `max_weight`.
    pub(crate) fn record(&mut self, sample: f64, max_weight: f64) {
        self.weight = (self.weight + 1.0).min(max_weight);
        self.value += (sample - self.value) / self.weight;
    }
}
