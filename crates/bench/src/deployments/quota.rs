//! Exact quotas of customers and the value of answers, as a baseline knows them.

use quartzcleat_decision::api::{ClassIndex, Nanos, PlanIndex, Settings};
use quartzcleat_invariants::PartnerIndex;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Rounding errors of units below this do not matter.
const UNITS_TOLERANCE: f64 = 1e-9;

/// A customer's use of a plan.
#[derive(Clone, Copy, Debug)]
pub(super) struct Subscription {
    /// The customer.
    pub customer: PartnerIndex,
    /// The plan.
    pub plan: PlanIndex,
}

/// Whether units were charged to a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Charge {
    /// They were.
    WithinQuota,
    /// The quota does not hold them, and stays as it is.
    BeyondQuota,
}

/// The exact quota of one customer.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    units: f64,
    refilled_at: Nanos,
}

/// Exact quotas of all customers: each refills at the plan's rate and holds at most its burst.
#[derive(Clone, Debug, Default)]
pub(super) struct ExactQuotas(BTreeMap<PartnerIndex, Bucket>);

impl ExactQuotas {
    /// Charges units to a customer's quota at a time, if it holds them.
    pub(super) fn charge(
        &mut self,
        settings: &Settings,
        subscription: Subscription,
        units: f64,
        now: Nanos,
    ) -> Charge {
        let plan = &settings.plans[subscription.plan.as_usize()];
        let bucket = self.0.entry(subscription.customer).or_insert(Bucket {
            units: plan.burst,
            refilled_at: now,
        });
        let refilled = plan.rate * (now - bucket.refilled_at) as f64 / 1e9;
        bucket.units = (bucket.units + refilled).min(plan.burst);
        bucket.refilled_at = now;
        if bucket.units < units - UNITS_TOLERANCE {
            return Charge::BeyondQuota;
        }
        bucket.units -= units;
        Charge::WithinQuota
    }
}

/// The priority weight of an answer after some time.
pub(super) fn priority_weight(
    settings: &Settings,
    class: ClassIndex,
    plan: PlanIndex,
    elapsed: Nanos,
) -> f64 {
    let class = &settings.classes[class.as_usize()];
    let plan = &settings.plans[plan.as_usize()];
    let lateness_factor = if elapsed <= class.latency_objective {
        1.0
    } else {
        class.late_weight
    };
    class.priority_weight * plan.weight_factor * lateness_factor
}
