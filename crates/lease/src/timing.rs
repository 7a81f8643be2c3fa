//! The duration of a lease under clocks that drift apart.

/// Time in nanoseconds on the monotonic clock of one process. Times of two processes are never compared.
pub type Nanos = u64;

/// The duration of leases and the bound on clock drift; every limiter is configured with the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long an accepted proposal stays valid, on its own clock.
    pub duration: Nanos,
    /// The greatest difference in rate between two clocks, in thousandths.
    pub drift_per_mille: u64,
}

impl LeaseTiming {
    /// How long a holder may use the lease, on its own clock, counted from before it sent its proposal.
    ///
    /// This is shorter than the duration by the drift, so that a slow holder stops before the proposal expires at a fast acceptor.
    pub fn holder_validity(&self) -> Nanos {
        self.duration.saturating_sub(self.max_drift())
    }

    /// How long an acceptor stays silent after its process has started.
    ///
    /// A restarted acceptor has lost the proposals that it accepted. A proposal that its previous process accepted in its
    /// last moment has expired by then, even on a slower clock.
    pub fn restart_silence(&self) -> Nanos {
        self.duration.saturating_add(self.max_drift())
    }

    fn max_drift(&self) -> Nanos {
        self.duration / 1_000 * self.drift_per_mille
    }
}
