//! The settings of a limiter: request classes, plans and limits.

use super::{LimiterIndex, Nanos, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Idempotent,
    /// Carries an idempotency key. The hosts of one [`DedupScope`] drop duplicates during the deduplication
    /// window.
    IdempotentWithKey,
    /// Must not run more than once.
    #[default]
    Unsafe,
}

/// Hosts that drop each other's duplicates of a request with an idempotency key.
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
    /// Name of the class, which identifies it when the settings change.
    pub name: String,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Hosts that drop duplicates; used only with [`Effect::IdempotentWithKey`].
    pub dedup_scope: DedupScope,
    /// Duration for which these hosts drop duplicates, from sending the first attempt that may have run; used
    /// only with [`Effect::IdempotentWithKey`].
    pub dedup_window: Nanos,
    /// Duration within which an answer earns the full priority weight.
    pub latency_objective: Nanos,
    /// Extension of the objective, as a multiple of the request's own work.
    pub latency_objective_stretch: f64,
    /// Total duration that a client waits, including all of its retries.
    pub deadline: Nanos,
    /// Priority weight of an answer within the objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the objective still earns.
    pub late_weight: f64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A plan: the quota of each of its customers, over all limiters together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Name of the plan, for display only.
    pub name: String,
    /// Rate at which a customer's quota refills, in units per second; zero if there is no such quota.
    pub rate: f64,
    /// Maximum of the quota in units.
    pub burst: f64,
    /// Maximum number of concurrent attempts of a customer; zero if unlimited.
    pub max_concurrent_attempts: u32,
    /// Factor by which the priority weight of the plan's requests is multiplied.
    pub weight_factor: f64,
    /// Fraction of its weight that a request forwarded beyond the quota earns.
    pub over_quota_weight: f64,
    /// Fraction of its weight that a request forwarded beyond the quota costs.
    pub over_quota_cost: f64,
    /// Rate at which the hard ceiling refills, in units per second; zero if there is no ceiling.
    pub ceiling_rate: f64,
    /// Maximum of the hard ceiling in units.
    pub ceiling_burst: f64,
    /// Number of units by which the hard ceiling may be overdrawn.
    pub ceiling_slack: f64,
}

/// Source of load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// Answers to attempts and to health checks.
    Answers,
    /// Answers to health checks only.
    HealthChecks,
    #[default]
    /// No source: hosts send no load reports.
    None,
}

/// Settings of one limiter, known at its start and grouped by the part of the engine that uses them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Request classes. A request refers to one by its [`ClassIndex`](super::ClassIndex).
    pub classes: Vec<Class>,
    /// Plans. A request refers to one by its [`PlanIndex`](super::PlanIndex).
    pub plans: Vec<Plan>,
    /// Number of limiters, and the index and zone of this one.
    pub limiters: LimiterSettings,
    /// Discovery of hosts and of their load.
    pub discovery: DiscoverySettings,
    /// Use of the counter service.
    pub counter: CounterSettings,
    /// Units that requests take from quotas.
    pub units: UnitSettings,
    /// Optional actions that the caller carries out.
    pub capabilities: Capabilities,
    /// Backoff of rejected clients.
    pub backoff: BackoffSettings,
    /// Limits on attempts and requests.
    pub attempts: AttemptSettings,
    /// Grace periods after a deadline or a drain.
    pub grace: GraceSettings,
    /// Slow start of hosts that started recently.
    pub slow_start: SlowStartSettings,
    /// Prices of undesired effects.
    pub prices: PriceSettings,
}

/// Number of limiters, and the index and zone of this one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimiterSettings {
    /// Number of limiters.
    pub count: u32,
    /// Index of this limiter.
    pub own_index: LimiterIndex,
    /// Zone of this limiter.
    pub own_zone: ZoneId,
    /// Minimum interval between two batches of events.
    pub tick: Nanos,
}

/// Discovery of hosts and of their load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoverySettings {
    /// Whether the host list is delivered only on request.
    pub is_polled: bool,
    /// Answers that carry load reports.
    pub report_source: ReportSource,
}

/// Use of the counter service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CounterSettings {
    /// Whether there is a counter service.
    pub is_available: bool,
    /// Timeout of a counter call.
    pub timeout: Nanos,
    /// Cost of one counter call per request.
    pub call_price: f64,
}

/// Units that requests take from quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnitSettings {
    /// Whether the units of a request are an estimate; the true ones come with the first successful answer.
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
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent.
    pub health_checks: bool,
    /// Whether messages to peers may be sent.
    pub peer_messages: bool,
    /// Whether a request may have two attempts in flight.
    pub hedged_requests: bool,
}

/// Backoff of rejected clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackoffSettings {
    /// Whether rejections carry a `retry_after`.
    pub sends_retry_after: bool,
    /// Maximum `retry_after` that clients follow.
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

/// Grace periods after a deadline or a drain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GraceSettings {
    /// Duration after the deadline within which a final answer still counts.
    pub answer: Nanos,
    /// Duration after the start of a drain within which the host may still get new requests.
    pub drain: Nanos,
}

/// Slow start of hosts that started recently.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartSettings {
    /// Fraction of its capacity that a host has at its start, in 0..=1.
    pub initial_capacity: f64,
    /// Duration after its start at which a host has its full capacity.
    pub duration: Nanos,
    /// Multiple of its capacity that overloads a host in slow start.
    pub overload_factor: f64,
    /// Duration of this overload.
    pub overload_duration: Nanos,
}

/// Prices of undesired effects, as fractions of the priority weight of all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriceSettings {
    /// Cost of one attempt across zones per request.
    pub cross_zone: f64,
    /// Cost of wasting an amount of work equal to the requested work.
    pub waste: f64,
    /// Cost if every request fails only after its objective.
    pub late_failure: f64,
    /// Cost of one health check per request.
    pub health_check: f64,
}
