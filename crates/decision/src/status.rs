//! Status of a decision engine for metrics.

/// State of a decision engine at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineStatus {
    /// Number of hosts that are listed as ready.
    pub ready_hosts: usize,
    /// Number of ready hosts whose measured answer time is below twice the mean.
    pub healthy_hosts: usize,
    /// Fraction of the requests that is admitted, in 0..=1.
    pub admission_ratio: f64,
    /// Maximum number of attempts in flight for each host at full capacity.
    pub concurrency_limit: f64,
    /// Fraction of the requests that call the counter, in 0..=1.
    pub counter_call_ratio: f64,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Number of requests that wait for capacity.
    pub queued: usize,
}
