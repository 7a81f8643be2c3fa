//! Claims of requests on their customer's quota, and the verdicts on them.

use crate::api::{CustomerId, PlanIndex, RequestId};

/// Claim of a request on its customer's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaClaim {
    pub(crate) customer: CustomerId,
    pub(crate) plan: PlanIndex,
    pub(crate) units: f64,
    /// Number of limiters through which the customer's requests arrive.
    pub(crate) spread: u32,
    /// How the units were added to a count; `None` if they were not.
    pub(crate) charge: Option<Charge>,
}

impl QuotaClaim {
    /// Returns the charge if it was added to the count of this window.
    pub(super) fn charge_in(&self, window: u64) -> Option<Charge> {
        self.charge.filter(|charge| charge.window == window)
    }
}

/// Addition of a request's units to a count.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// Index of the window whose count the units were added to.
    pub(super) window: u64,
    /// Amount added for each unit. Above one if the call also represents requests that made no call.
    pub(super) weight: f64,
}

impl Charge {
    /// Returns the part of the added amount that represents other requests.
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
    /// The customer is over this limiter's share of the quota, but the totals do not show that it is over the
    /// quota.
    OverLocalShare,
    /// The verdict depends on the reply to a counter call.
    AwaitingCounter,
}

/// Basis of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VerdictBasis {
    /// A total that the counter replied with.
    CounterTotal,
    /// The totals and tokens that this limiter holds, without a reply from the counter.
    LocalKnowledge,
}

/// Requests that a counter reply makes ready for a verdict.
#[derive(Debug)]
pub(crate) struct ReadyForVerdict {
    pub(crate) requests: Vec<RequestId>,
    pub(crate) basis: VerdictBasis,
}

/// Reason for a correction of a claim's units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Correction {
    /// The request had no effect, so its units are returned.
    Refund,
    /// The true units became known.
    Settlement,
}
