//! Data of a snapshot.
//!
//! The keys and array forms are fixed, because the JSON text is stored in handoff files that the previous
//! version reads and writes.

use super::array_form::impl_array_form;
use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// Measurements of a decision engine at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// Time of the snapshot.
    pub at: Nanos,
    /// Sampling of counter calls.
    #[serde(rename = "ask")]
    pub counter_calls: CounterCallsSnapshot,
    /// Load shedding.
    #[serde(rename = "let_in")]
    pub admission: AdmissionSnapshot,
    /// Mean priority weight per second of work.
    #[serde(rename = "density")]
    pub mean_weight_rate: f64,
    /// Maximum number of attempts in flight for each host at full capacity.
    #[serde(rename = "room")]
    pub concurrency_limit: f64,
    /// Answer times of each class.
    pub classes: Vec<ClassSnapshot>,
    /// Measurements of each host.
    pub hosts: Vec<HostSnapshot>,
    /// Answer times of each zone.
    pub zones: Vec<ZoneSnapshot>,
    /// Counts of the customers seen most recently.
    pub customers: Vec<CustomerSnapshot>,
}

/// Sampling of counter calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct CounterCallsSnapshot {
    /// Fraction of the requests that call the counter.
    pub ratio: f64,
    /// Mean amount that a request would add to its count, as a fraction of the customer's refill in one window.
    pub mean_need: f64,
}
impl_array_form!(CounterCallsSnapshot {
    ratio: f64,
    mean_need: f64
});

/// Load shedding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, Nanos, f64)", into = "(f64, f64, Nanos, f64)")]
pub struct AdmissionSnapshot {
    /// Fraction of the requests that is admitted.
    pub ratio: f64,
    /// Mean answer time as a multiple of the latency objective, over about one second.
    pub mean_objective_ratio: f64,
    /// Time of the last answer in `mean_objective_ratio`.
    pub measured_at: Nanos,
    /// Mean answer time of successful attempts, as a multiple of the latency objective.
    pub success_objective_ratio: f64,
}
impl_array_form!(AdmissionSnapshot {
    ratio: f64,
    mean_objective_ratio: f64,
    measured_at: Nanos,
    success_objective_ratio: f64
});

/// Answer times of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64, f64)", into = "(String, f64, f64)")]
pub struct ClassSnapshot {
    /// Name of the class.
    pub name: String,
    /// Mean answer time in seconds.
    pub mean_latency: f64,
    /// Weight of the mean, as a number of answers.
    pub answers: f64,
}
impl_array_form!(ClassSnapshot {
    name: String,
    mean_latency: f64,
    answers: f64
});

/// Measurements of one process of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSnapshot {
    /// Identifier of the host.
    pub host: u32,
    /// Start time of the process; the measurements do not apply to any other process.
    pub started: Nanos,
    /// Answer times of the process.
    #[serde(rename = "slowness")]
    pub latency: LatencyScoreSnapshot,
    /// Maximum number of attempts in flight at the host.
    #[serde(rename = "room")]
    pub concurrency_limit: f64,
}

/// Answer times of a host relative to the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, Nanos)", into = "(f64, f64, Nanos)")]
pub struct LatencyScoreSnapshot {
    /// Mean answer time as a multiple of the class's mean.
    pub score: f64,
    /// Weight of the mean, as a number of answers.
    pub sample_weight: f64,
    /// Time of the last answer.
    pub measured_at: Nanos,
}
impl_array_form!(LatencyScoreSnapshot {
    score: f64,
    sample_weight: f64,
    measured_at: Nanos
});

/// Answer times of a zone relative to the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, f64, Nanos)", into = "(u32, f64, Nanos)")]
pub struct ZoneSnapshot {
    /// Index of the zone.
    pub zone: u32,
    /// Mean answer time as a multiple of the class's mean.
    pub score: f64,
    /// Time of the last answer.
    pub measured_at: Nanos,
}
impl_array_form!(ZoneSnapshot {
    zone: u32,
    score: f64,
    measured_at: Nanos
});

/// Counts of one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerSnapshot {
    /// Identifier of the customer.
    pub customer: u64,
    /// Index of the window that the `current` values belong to.
    pub window: u64,
    /// Totals of the current and the previous window, in units.
    pub totals: TotalsSnapshot,
    /// Amounts in the current window that the counter confirmed and lost.
    pub confirmed: ConfirmedSnapshot,
    /// Amounts added by this limiter in the current and the previous window.
    pub own: OwnAddsSnapshot,
    /// Tokens of this limiter's share of the quota, and the time of their last refill.
    #[serde(rename = "store")]
    pub local_tokens: TimedUnits,
    /// Credit at the start of the previous window, in units.
    #[serde(default, rename = "store_before")]
    pub previous_credit: f64,
    /// Units requested through this limiter, which decay over time, and the time of the last request.
    #[serde(rename = "seen")]
    pub recent_units: TimedUnits,
}

/// Totals of a customer's counts, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, bool, bool)", into = "(f64, f64, bool, bool)")]
pub struct TotalsSnapshot {
    /// Total of the current window.
    pub current: f64,
    /// Total of the previous window.
    pub previous: f64,
    /// Whether the counter replied with a total of the current window.
    pub is_current_known: bool,
    /// Whether the counter replied with the final total of the previous window.
    pub is_previous_read: bool,
}
impl_array_form!(TotalsSnapshot {
    current: f64,
    previous: f64,
    is_current_known: bool,
    is_previous_read: bool
});

/// Amounts that the counter confirmed and lost, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ConfirmedSnapshot {
    /// Amount confirmed to this limiter, less refunds.
    pub amount: f64,
    /// Part of the total that a restarted counter lost.
    pub lost: f64,
}
impl_array_form!(ConfirmedSnapshot {
    amount: f64,
    lost: f64
});

/// Amounts added by this limiter, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct OwnAddsSnapshot {
    /// Amount in the current window.
    pub current: f64,
    /// Amount in the previous window.
    pub previous: f64,
}
impl_array_form!(OwnAddsSnapshot {
    current: f64,
    previous: f64
});

/// Number of units at a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, Nanos)", into = "(f64, Nanos)")]
pub struct TimedUnits {
    /// Number of units.
    pub units: f64,
    /// Time that the number applies to.
    pub at: Nanos,
}
impl_array_form!(TimedUnits {
    units: f64,
    at: Nanos
});
