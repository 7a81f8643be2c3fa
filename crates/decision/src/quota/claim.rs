//! What a request claims of its customer's quota, and the verdicts on it.

use crate::api::{CustomerId, PlanIndex, RequestId};

/// What a request claims of its customer's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaClaim {
    pub(crate) customer: CustomerId,
    pub(crate) plan: PlanIndex,
    pub(crate) units: f64,
    /// Number of limiters through which the customer's requests arrive.
    pub(crate) spread: u32,
    /// How the units were added to a count; `None`: they were not.
    pub(crate) charge: Option<Charge>,
}

impl QuotaClaim {
    /// The charge, if it was added to the count of this window.
    pub(super) fn charge_in(&self, window: u64) -> Option<Charge> {
        self.charge.filter(|charge| charge.window == window)
    }
}

/// How a request's units were added to a count.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// Index of the window that they were added to.
    pub(super) window: u64,
    /// Amount added for each unit: more than one where the request also stands for others that made no call.
    pub(super) weight: f64,
}

impl Charge {
    /// The part of the added amount that stands for other requests.
    pub(super) fn amount_for_others(self, units: f64) -> f64 {
        (self.weight - 1.0) * units
    }
}

/// The verdict on a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// The customer is within its quota.
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
    /// The totals and tokens of this limiter, without a reply of the counter.
    LocalKnowledge,
}

/// Requests that a counter reply makes ready for a verdict.
#[derive(Debug)]
pub(crate) struct ReadyForVerdict {
    pub(crate) requests: Vec<RequestId>,
    pub(crate) basis: VerdictBasis,
}

/// Why the units of a claim are corrected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Correction {
    /// The request had no effect.
    Refund,
    /// The true units became known.
    Settlement,
}
