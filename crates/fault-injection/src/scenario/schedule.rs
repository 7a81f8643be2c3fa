//! The schedule of faults for one seed.

use super::{Fault, FaultKind, FaultTarget, Scenario, KIND_KEYWORDS, LEASE_LOSS_KINDS};
use std::time::Duration;

/// The probability that a random fault other than the first targets the lease holder.
const HOLDER_SHARE: f64 = 0.7;

impl Scenario {
    /// Returns the scenario with all faults of a seed named and none generated, from which shrinking starts.
    #[must_use]
    pub fn with_schedule_of(&self, seed: u64) -> Scenario {
        Scenario {
            faults: self.schedule(seed),
            random_faults: 0,
            ..self.clone()
        }
    }

    /// Returns the faults of one seed, named and generated, sorted by time.
    #[must_use]
    pub fn schedule(&self, seed: u64) -> Vec<Fault> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut schedule = self.faults.clone();
        for index in 0..self.random_faults {
            schedule.push(self.random_fault(index, &mut rng));
        }
        schedule.sort_by_key(|fault| fault.at);
        schedule
    }

    /// Generates a fault. The first one makes the holder lose its lease, and all outlast a lease; otherwise few
    /// runs would change the lease holder.
    fn random_fault(&self, index: usize, rng: &mut fastrand::Rng) -> Fault {
        let margin = self.lease_length * 2;
        let last = self.duration.saturating_sub(margin);
        let at = margin + random_part(rng, last.saturating_sub(margin));
        let target = if index == 0 || rng.f64() < HOLDER_SHARE {
            FaultTarget::LeaseHolder
        } else {
            FaultTarget::Random
        };
        let kinds = if index == 0 {
            LEASE_LOSS_KINDS
        } else {
            KIND_KEYWORDS.len()
        };
        let kind: FaultKind = KIND_KEYWORDS[rng.usize(..kinds)].1;
        Fault {
            at,
            target,
            kind,
            duration: self.lease_length + random_part(rng, self.lease_length * 2),
        }
    }
}

/// Returns a random duration from zero to `whole`.
fn random_part(rng: &mut fastrand::Rng, whole: Duration) -> Duration {
    whole.mul_f64(rng.f64())
}
