//! The settings of a limiter: request classes, plans and limits.

use super::Nanos;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent.
    Retryable,
    /// Carries an idempotency key; hosts of one group drop duplicates during the deduplication window.
    Keyed,
    /// Must never run twice.
    #[default]
    Unsafe,
}

/// The hosts that drop each other's duplicates of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    #[default]
    /// The hosts of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Its name, which identifies it over changes of the settings.
    pub name: String,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// With an idempotency key: the hosts that drop duplicates.
    pub group: Group,
    /// With an idempotency key: how long they do, from sending the first attempt that may have run.
    pub dedup_window: Nanos,
    /// An answer within this duration earns the full priority weight.
    pub latency_objective: Nanos,
    /// The objective is extended by this multiple of the request's own work.
    pub latency_objective_stretch: f64,
    /// How long a client waits in total, over all of its retries.
    pub deadline: Nanos,
    /// Priority weight of an answer.
    pub priority_weight: f64,
    /// Part of the priority weight that an answer after the objective still earns.
    pub late_weight: f64,
    /// The answer is streamed.
    pub stream: bool,
}

/// A plan: the quota of each of its customers, over all limiters together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Its name, for people only.
    pub name: String,
    /// Units per second at which a customer's quota refills; zero: no such quota.
    pub rate: f64,
    /// Maximum units of the quota.
    pub burst: f64,
    /// Maximum number of concurrent attempts; zero: unlimited.
    pub open: u32,
    /// Factor on the priority weight of its requests.
    pub weight_factor: f64,
    /// Part of its weight that a request forwarded beyond the quota earns.
    pub over_quota_weight: f64,
    /// Part of its weight that such a request costs.
    pub over_quota_cost: f64,
    /// Units per second at which the hard ceiling refills; zero: no ceiling.
    pub ceiling_rate: f64,
    /// Maximum units of the ceiling.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be overdrawn.
    pub ceiling_slack: f64,
}

/// Source of load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// Answers and health checks.
    Answers,
    /// Health checks only.
    Probes,
    #[default]
    /// There are none.
    Nowhere,
}

/// Settings of one limiter, known at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The request classes, by index.
    pub classes: Vec<Class>,
    /// The plans, by index.
    pub plans: Vec<Plan>,
    /// Number of limiters.
    pub limiter_count: u32,
    /// Index of this limiter, from zero.
    pub me: u32,
    /// Zone of this limiter.
    pub zone: u32,
    /// Shortest interval between two batches of events.
    pub tick: Nanos,
    /// The host list is delivered only on request.
    pub discovery_by_polling: bool,
    /// Source of load reports.
    pub reports: ReportSource,
    /// There is a counter service.
    pub counter: bool,
    /// Timeout of a counter call.
    pub counter_timeout: Nanos,
    /// Cost of one counter call per request.
    pub counter_price: f64,
    /// Units are an estimate; the true ones come with the first successful answer.
    pub settled_later: bool,
    /// Maximum units of one request.
    pub largest_request: f64,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Health checks may be sent.
    pub may_health_check: bool,
    /// Messages to peers may be sent.
    pub may_message_peers: bool,
    /// A request may have two attempts in flight.
    pub hedged_requests: bool,
    /// Rejections carry a `retry_after`.
    pub retry_after: bool,
    /// Longest `retry_after` that clients follow.
    pub longest_retry_after: Nanos,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Maximum number of open requests of this limiter.
    pub max_open: u32,
    /// Timeout for establishing a connection.
    pub connect_timeout: Nanos,
    /// A final answer still counts this long after the deadline.
    pub answer_grace: Nanos,
    /// A draining host may get no new request later than this.
    pub drain_grace: Nanos,
    /// Part of its capacity that a host has at its start.
    pub slow_start_floor: f64,
    /// A host has its full capacity after this duration.
    pub slow_start_duration: Nanos,
    /// A host in slow start is overloaded by this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_duration: Nanos,
    /// Cost of one attempt across zones per request.
    pub cross_zone_price: f64,
    /// Cost of wasting as much work as was requested.
    pub waste_price: f64,
    /// Cost of failing every request only after its objective.
    pub late_failure_price: f64,
    /// Cost of one health check per request.
    pub health_check_price: f64,
}
