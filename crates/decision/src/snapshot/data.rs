//! Data of a snapshot. Its JSON text is stored in handoff files that the previous version reads and writes,
//! so keys and array forms are fixed.

use super::array_form::impl_array_form;
use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// State of a decision engine at a moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// Time of the snapshot.
    pub at: Nanos,
    /// Calls to the counter.
    #[serde(rename = "ask")]
    pub counter_calls: CounterCallsSnapshot,
    /// Admission of requests.
    #[serde(rename = "let_in")]
    pub admission: AdmissionSnapshot,
    /// Mean priority weight per second of work.
    #[serde(rename = "density")]
    pub mean_weight_rate: f64,
    /// Attempts in flight for each host at full capacity.
    #[serde(rename = "room")]
    pub concurrency_limit: f64,
    /// Classes.
    pub classes: Vec<ClassSnapshot>,
    /// Hosts.
    pub hosts: Vec<HostSnapshot>,
    /// Zones.
    pub zones: Vec<ZoneSnapshot>,
    /// The customers seen last.
    pub customers: Vec<CustomerSnapshot>,
}

/// Calls to the counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct CounterCallsSnapshot {
    /// Part of the requests that call the counter.
    pub ratio: f64,
    /// Mean amount that a request has for the counter, as a part of its limit.
    pub mean_need: f64,
}
impl_array_form!(CounterCallsSnapshot {
    ratio: f64,
    mean_need: f64
});

/// Admission of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, Nanos, f64)", into = "(f64, f64, Nanos, f64)")]
pub struct AdmissionSnapshot {
    /// Part of the requests that is admitted.
    pub ratio: f64,
    /// Mean answer time as a multiple of the latency objective.
    pub mean_objective_ratio: f64,
    /// Time of the last answer.
    pub measured_at: Nanos,
    /// Mean answer time of successful attempts, as a multiple of the objective.
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
    /// Number of answers in the mean.
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
    /// The host.
    pub host: u32,
    /// Start of the process; the measurements do not hold for another one.
    pub started: Nanos,
    /// Answer times.
    #[serde(rename = "slowness")]
    pub latency: LatencyScoreSnapshot,
    /// Attempts that it takes at once.
    #[serde(rename = "room")]
    pub concurrency_limit: f64,
}

/// Answer times of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, Nanos)", into = "(f64, f64, Nanos)")]
pub struct LatencyScoreSnapshot {
    /// Mean as a multiple of the class's mean.
    pub score: f64,
    /// Number of answers in the mean.
    pub sample_weight: f64,
    /// Time of the last answer.
    pub measured_at: Nanos,
}
impl_array_form!(LatencyScoreSnapshot {
    score: f64,
    sample_weight: f64,
    measured_at: Nanos
});

/// Answer times of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, f64, Nanos)", into = "(u32, f64, Nanos)")]
pub struct ZoneSnapshot {
    /// The zone.
    pub zone: u32,
    /// Mean as a multiple of the class's mean.
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
    /// The customer.
    pub customer: u64,
    /// Index of the window that the totals belong to.
    pub window: u64,
    /// Totals.
    pub totals: TotalsSnapshot,
    /// Confirmed amounts.
    pub confirmed: ConfirmedSnapshot,
    /// Amounts added by this limiter.
    pub own: OwnAddsSnapshot,
    /// Tokens of this limiter's share of the quota, and when they were refilled.
    #[serde(rename = "store")]
    pub local_tokens: TimedUnits,
    /// Credit at the start of the previous window, in units.
    #[serde(default, rename = "store_before")]
    pub previous_credit: f64,
    /// Units requested through this limiter, which decay with time, and when the last request came.
    #[serde(rename = "seen")]
    pub recent_units: TimedUnits,
}

/// Totals of a customer's counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, bool, bool)", into = "(f64, f64, bool, bool)")]
pub struct TotalsSnapshot {
    /// Total of the window.
    pub current: f64,
    /// Total of the window before.
    pub previous: f64,
    /// The counter replied with a total of the window.
    pub is_current_known: bool,
    /// The counter replied with the final total of the window before.
    pub is_previous_read: bool,
}
impl_array_form!(TotalsSnapshot {
    current: f64,
    previous: f64,
    is_current_known: bool,
    is_previous_read: bool
});

/// Amounts that the counter confirmed and lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ConfirmedSnapshot {
    /// Confirmed to this limiter, without refunds.
    pub amount: f64,
    /// Part of the total that a restarted counter lost.
    pub lost: f64,
}
impl_array_form!(ConfirmedSnapshot {
    amount: f64,
    lost: f64
});

/// Amounts added by this limiter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct OwnAddsSnapshot {
    /// In the window.
    pub current: f64,
    /// In the window before.
    pub previous: f64,
}
impl_array_form!(OwnAddsSnapshot {
    current: f64,
    previous: f64
});

/// A number of units at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, Nanos)", into = "(f64, Nanos)")]
pub struct TimedUnits {
    /// The units.
    pub units: f64,
    /// The time.
    pub at: Nanos,
}
impl_array_form!(TimedUnits {
    units: f64,
    at: Nanos
});
