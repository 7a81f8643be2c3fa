//! The settings of a limiter: request classes, plans and limits.

use super::{LimiterIndex, Nanos, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent.
    Idempotent,
    /// Carries an idempotency key; hosts of one group drop duplicates during the deduplication window.
    IdempotentWithKey,
    /// Must never run twice.
    #[default]
    Unsafe,
}

/// The hosts that drop each other's duplicates of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
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
    pub dedup_scope: DedupScope,
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
    pub max_concurrent_attempts: u32,
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
    HealthChecks,
    #[default]
    /// Hosts send no load reports.
    None,
}

/// Settings of one limiter, known at its start. Each group belongs to the part that uses it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The request classes; a request refers to one by its [`ClassIndex`](super::ClassIndex).
    pub classes: Vec<Class>,
    /// The plans; a request refers to one by its [`PlanIndex`](super::PlanIndex).
    pub plans: Vec<Plan>,
    /// All limiters, and this one among them.
    pub limiters: LimiterSettings,
    /// Discovery of hosts and of their load.
    pub discovery: DiscoverySettings,
    /// The counter service.
    pub counter: CounterSettings,
    /// The units that requests take from quotas.
    pub units: UnitSettings,
    /// Optional actions that the caller carries out.
    pub capabilities: Capabilities,
    /// Backoff of rejected clients.
    pub backoff: BackoffSettings,
    /// Limits on attempts and requests.
    pub attempts: AttemptSettings,
    /// Times that are granted after a deadline or a drain.
    pub grace: GraceSettings,
    /// Hosts that started recently.
    pub slow_start: SlowStartSettings,
    /// Prices of undesired effects.
    pub prices: PriceSettings,
}

/// All limiters, and this one among them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimiterSettings {
    /// Number of limiters.
    pub count: u32,
    /// This limiter.
    pub own_index: LimiterIndex,
    /// Zone of this limiter.
    pub own_zone: ZoneId,
    /// Shortest interval between two batches of events.
    pub tick: Nanos,
}

/// Discovery of hosts and of their load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoverySettings {
    /// The host list is delivered only on request.
    pub is_polled: bool,
    /// Source of load reports.
    pub report_source: ReportSource,
}

/// The counter service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CounterSettings {
    /// There is a counter service.
    pub is_available: bool,
    /// Timeout of a counter call.
    pub timeout: Nanos,
    /// Cost of one counter call per request.
    pub call_price: f64,
}

/// The units that requests take from quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnitSettings {
    /// Units are an estimate; the true ones come with the first successful answer.
    pub are_estimates: bool,
    /// Maximum units of one request.
    pub largest_request: f64,
}

/// Optional actions that the caller carries out.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent permissions of the caller, each a key of its own"
)]
pub struct Capabilities {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Health checks may be sent.
    pub health_checks: bool,
    /// Messages to peers may be sent.
    pub peer_messages: bool,
    /// A request may have two attempts in flight.
    pub hedged_requests: bool,
}

/// Backoff of rejected clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackoffSettings {
    /// Rejections carry a `retry_after`.
    pub sends_retry_after: bool,
    /// Longest `retry_after` that clients follow.
    pub longest_retry_after: Nanos,
}

/// Limits on attempts and requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptSettings {
    /// Maximum number of attempts of one request.
    pub max_per_request: u32,
    /// Maximum number of requests in progress at this limiter.
    pub max_requests_in_progress: u32,
    /// Timeout for establishing a connection.
    pub connect_timeout: Nanos,
}

/// Times that are granted after a deadline or a drain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GraceSettings {
    /// A final answer still counts this long after the deadline.
    pub answer: Nanos,
    /// A draining host may get no new request later than this.
    pub drain: Nanos,
}

/// Hosts that started recently.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartSettings {
    /// Part of its capacity that a host has at its start, in 0..=1.
    pub initial_capacity: f64,
    /// A host has its full capacity after this duration.
    pub duration: Nanos,
    /// A host in slow start is overloaded by this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_duration: Nanos,
}

/// Prices of undesired effects, as parts of the priority weight of all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriceSettings {
    /// Cost of one attempt across zones per request.
    pub cross_zone: f64,
    /// Cost of wasting as much work as was requested.
    pub waste: f64,
    /// Cost of failing every request only after its objective.
    pub late_failure: f64,
    /// Cost of one health check per request.
    pub health_check: f64,
}
