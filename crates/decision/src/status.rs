//! Status of a decision engine, for metrics.

use crate::lifecycle::DecisionEngine;

/// Hosts below this slowness count as healthy.
const HEALTHY_SLOWNESS: f64 = 2.0;

/// What a decision engine assumes at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineStatus {
    /// Hosts listed as ready.
    pub ready_hosts: usize,
    /// Ready hosts whose measured answer time is below twice the mean.
    pub healthy_hosts: usize,
    /// Part of the requests that is admitted.
    pub admission_ratio: f64,
    /// Attempts in flight for each host at full capacity.
    pub concurrency_limit: f64,
    /// Part of the requests that call the counter.
    pub counter_call_ratio: f64,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Requests that wait for capacity.
    pub queued: usize,
}

impl DecisionEngine {
    /// The present status.
    #[must_use]
    pub fn status(&self) -> EngineStatus {
        let ready = || self.host_pool.hosts.values().filter(|host| host.is_ready());
        EngineStatus {
            ready_hosts: ready().count(),
            healthy_hosts: ready()
                .filter(|host| host.slowness < HEALTHY_SLOWNESS)
                .count(),
            admission_ratio: self.host_pool.admission_ratio,
            concurrency_limit: self.host_pool.concurrency_limit,
            counter_call_ratio: self.quotas.call_ratio,
            in_flight: self.host_pool.in_flight,
            queued: self.queue.len(),
        }
    }
}
