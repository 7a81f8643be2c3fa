//! Status of a decision engine, for metrics.

/// What a decision engine assumes at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineStatus {
    /// Hosts listed as ready.
    pub ready_hosts: usize,
    /// Ready hosts whose measured answer time is below twice the mean.
    pub healthy_hosts: usize,
    /// Part of the requests that is admitted, in 0..=1.
    pub admission_ratio: f64,
    /// Attempts in flight for each host at full capacity.
    pub concurrency_limit: f64,
    /// Part of the requests that call the counter, in 0..=1.
    pub counter_call_ratio: f64,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Requests that wait for capacity.
    pub queued: usize,
}
