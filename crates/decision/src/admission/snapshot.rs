//! Snapshot of the load shedder.

use super::load_shedder::MIN_ADMISSION_RATIO;
use super::LoadShedder;
use crate::api::Nanos;
use crate::primitives::ExponentialMean;
use crate::snapshot::{valid_or, AdmissionSnapshot, MAX_UNITS};

impl LoadShedder {
    pub(crate) fn snapshot(&self) -> AdmissionSnapshot {
        AdmissionSnapshot {
            ratio: self.admission_ratio,
            mean_objective_ratio: self.mean_objective_ratio.value(),
            measured_at: self.measured_at,
            success_objective_ratio: self.success_objective_ratio.value(),
        }
    }

    /// Returns the mean priority weight per second of work, a separate field of the engine's snapshot.
    pub(crate) fn mean_weight_rate(&self) -> f64 {
        self.mean_weight_rate.value()
    }

    /// Restores the state from a predecessor's snapshot.
    pub(crate) fn restore(
        &mut self,
        snapshot: AdmissionSnapshot,
        mean_weight_rate: f64,
        now: Nanos,
    ) {
        self.admission_ratio = valid_or(
            snapshot.ratio,
            MIN_ADMISSION_RATIO,
            1.0,
            self.admission_ratio,
        );
        restore_mean(
            &mut self.mean_objective_ratio,
            snapshot.mean_objective_ratio,
            1.0,
        );
        self.measured_at = snapshot.measured_at.min(now);
        restore_mean(
            &mut self.success_objective_ratio,
            snapshot.success_objective_ratio,
            1.0,
        );
        restore_mean(&mut self.mean_weight_rate, mean_weight_rate, MAX_UNITS);
    }
}

/// Replaces a mean with a stored value limited to 0..=`max`. A value that is not finite leaves the mean as it
/// is.
fn restore_mean(mean: &mut ExponentialMean, stored: f64, max: f64) {
    *mean = ExponentialMean::new(valid_or(stored, 0.0, max, mean.value()));
}
