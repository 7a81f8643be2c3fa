//! The duration of leases, with allowance for clock drift.

/// A time or duration in nanoseconds on the monotonic clock of one process. Times of different processes are never
/// compared.
pub type Nanos = u64;

/// The duration of leases and the bound on clock drift. Every limiter must be configured with the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// The validity of an accepted proposal, in nanoseconds on the acceptor's clock.
    pub duration: Nanos,
    /// The maximum difference in rate between two clocks, in thousandths.
    pub drift_per_mille: u64,
}

impl LeaseTiming {
    /// Returns how long a holder may use the lease, on its own clock, counted from before it sent its proposal.
    ///
    /// This is the duration less the maximum drift, so that a holder with a slow clock stops before the proposal
    /// expires at an acceptor with a fast clock.
    pub fn holder_validity(&self) -> Nanos {
        self.duration.saturating_sub(self.max_drift())
    }

    /// Returns how long an acceptor sends no responses after its process has started.
    ///
    /// A restarted acceptor has lost the proposals that it had accepted. By the end of this time, even a proposal that
    /// the previous process accepted just before it ended has expired, on slower clocks too.
    pub fn restart_silence(&self) -> Nanos {
        self.duration.saturating_add(self.max_drift())
    }

    fn max_drift(&self) -> Nanos {
        self.duration / 1_000 * self.drift_per_mille
    }
}
