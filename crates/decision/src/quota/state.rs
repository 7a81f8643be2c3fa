//! Data of the quotas: what a limiter knows of each customer's counts, and what a request claims of them.

use crate::api::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a request claims of its customer's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaClaim {
    pub(crate) customer: CustomerId,
    pub(crate) plan: usize,
    pub(crate) units: f64,
    /// Number of limiters through which the customer's requests arrive.
    pub(crate) spread: u32,
    pub(crate) charge: Option<Charge>,
}

/// How a request's units were added to a count.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// Index of the window that they were added to.
    pub(crate) window: u64,
    /// Amount added for each unit: more than one where the request also stands for others that made no call.
    pub(crate) weight: f64,
}

/// The verdict on a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    Pass,
    /// The counter's totals show that the customer is over its quota.
    OverQuota,
    /// The customer is over this limiter's share of the quota; the totals do not show more.
    OverLocalShare,
    /// The counter was called, and its reply decides.
    AwaitingCounter,
}

/// What a verdict is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VerdictBasis {
    /// A total that the counter replied with.
    CounterTotal,
    /// What this limiter knows without the counter.
    LocalKnowledge,
}

/// Requests that a counter reply makes ready for a verdict.
#[derive(Debug)]
pub(crate) struct ReadyForVerdict {
    pub(crate) requests: Vec<RequestId>,
    pub(crate) basis: VerdictBasis,
}

/// How long a request may wait for the counter, and a random number in 0..1 that decides whether it calls it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterWait {
    pub(crate) timeout: Nanos,
    pub(crate) draw: f64,
}

/// Whether a request calls the counter, and how many like it the call stands for.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallSampling {
    pub(super) probability: f64,
    pub(super) weight: f64,
}

/// The reply to a counter call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterReply {
    pub(crate) outcome: Outcome,
    pub(crate) total: f64,
    pub(crate) elapsed: Nanos,
}

/// Why the units of a claim are corrected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Correction {
    /// The request had no effect.
    Refund,
    /// The true units became known.
    Settlement,
}

/// One window of one customer, which has a count of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WindowKey {
    pub(crate) customer: CustomerId,
    pub(crate) window: u64,
}

impl WindowKey {
    pub(crate) fn counter_name(&self) -> String {
        format!("q{:x}.{}", self.customer.0, self.window)
    }
}

/// A call to the counter: a request's units, a correction, or, with an amount of zero, a read of the previous
/// window.
#[derive(Clone, Debug)]
pub(crate) struct CounterCall {
    pub(crate) key: WindowKey,
    pub(crate) amount: f64,
    pub(crate) request: Option<RequestId>,
    /// Amount that the counter had confirmed to this limiter when the call was made.
    pub(crate) confirmed: f64,
}

/// The windows of a plan at the present moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    pub(crate) length: Nanos,
    pub(crate) now: Nanos,
    /// Units that refill during one window.
    pub(crate) refill: f64,
    /// Maximum credit at the start of a window.
    pub(crate) max_credit: f64,
}

/// What this limiter knows of one customer's current and previous count.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerQuota {
    /// Index of the current window.
    pub(crate) window: u64,
    /// Latest total of the current window, including what a restarted counter lost.
    pub(crate) total: f64,
    /// Own amounts in calls without a reply.
    pub(crate) pending: f64,
    /// Own amounts that never reached the counter; the next call includes them.
    pub(crate) unsent: f64,
    /// Own amounts that the counter confirmed. A total below this less `refunded` proves that the count was
    /// lost.
    pub(crate) confirmed: f64,
    /// Own amounts taken back.
    pub(crate) refunded: f64,
    /// Part of `total` that a restarted counter lost.
    pub(crate) lost: f64,
    /// Own amounts that are or may be in `total`.
    pub(crate) own: f64,
    /// Own amounts in the previous window.
    pub(crate) previous_own: f64,
    /// The counter replied with a total of the current window.
    pub(crate) is_total_known: bool,
    /// Credit at the start of the previous window.
    pub(crate) previous_credit: f64,
    /// Total of the previous window.
    pub(crate) previous_total: f64,
    /// The counter replied with the final total of the previous window.
    pub(crate) is_previous_read: bool,
    /// Requests that wait for the read of the previous window.
    pub(crate) awaiting_previous: Vec<RequestId>,
    /// Tokens of this limiter's share of the hard ceiling, and when they were refilled.
    pub(crate) ceiling_tokens: f64,
    pub(crate) ceiling_refilled_at: Nanos,
    /// Tokens of this limiter's share of the quota, for verdicts without the counter, and when they were
    /// refilled.
    pub(crate) local_tokens: f64,
    pub(crate) local_refilled_at: Nanos,
    /// Attempts in flight.
    pub(crate) open_attempts: u32,
    /// Units requested through this limiter, which fade with time, and when the last request came.
    pub(crate) recent_units: f64,
    pub(crate) last_seen: Nanos,
}

/// The quotas of all customers as this limiter knows them.
#[derive(Debug, Default)]
pub(crate) struct QuotaTracker {
    pub(crate) settings: Arc<Settings>,
    pub(crate) now: Nanos,
    pub(crate) started_at: Nanos,
    pub(crate) customers: BTreeMap<CustomerId, CustomerQuota>,
    /// Calls without a reply by the count's name, in their order.
    pub(crate) calls: BTreeMap<String, VecDeque<CounterCall>>,
    /// Part of the requests that call the counter.
    pub(crate) call_ratio: f64,
    pub(crate) is_counter_degraded: bool,
    /// Mean amount that a request has for the counter, as a part of its limit.
    pub(crate) mean_need: f64,
}

impl CustomerQuota {
    /// Clears what belongs to the current window.
    pub(super) fn clear_counts(&mut self, window: u64) {
        self.window = window;
        self.total = 0.0;
        self.pending = 0.0;
        self.unsent = 0.0;
        self.confirmed = 0.0;
        self.refunded = 0.0;
        self.lost = 0.0;
        self.own = 0.0;
        self.is_total_known = false;
        self.is_previous_read = false;
    }
}
