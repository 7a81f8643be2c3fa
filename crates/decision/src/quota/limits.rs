//! Limits on dispatch: the cap on concurrent attempts and the hard ceiling. Each limiter enforces only its
//! share; otherwise every limiter would grant the full amount.

use super::{QuotaClaim, QuotaTracker};
use crate::api::{CustomerId, Plan};
use crate::context::Context;

impl QuotaTracker {
    /// Returns whether the customer's cap on concurrent attempts allows one more.
    pub(crate) fn has_attempt_capacity(&self, claim: &QuotaClaim, context: &Context) -> bool {
        let plan = context.plan(claim.plan);
        let cap = plan.max_concurrent_attempts;
        let Some(record) = self.known_customer(claim.customer) else {
            return true;
        };
        let share = record.local_share(claim.spread, plan.burst);
        cap == 0 || f64::from(record.attempts_in_flight) < (f64::from(cap) * share).ceil()
    }

    /// Returns whether this limiter's share of the hard ceiling has fewer tokens than the claim's units.
    pub(crate) fn is_ceiling_exhausted(&mut self, claim: &QuotaClaim, context: &Context) -> bool {
        has_ceiling(context.plan(claim.plan)) && self.refill_ceiling(claim, context) < claim.units
    }

    /// Refills this limiter's share of the hard ceiling, an even one, and returns its tokens.
    fn refill_ceiling(&mut self, claim: &QuotaClaim, context: &Context) -> f64 {
        let plan = context.plan(claim.plan);
        let now = context.now();
        let share = 1.0 / f64::from(claim.spread);
        let bucket = &mut self.customer(claim.customer).ceiling;
        let gained = bucket.seconds_since_refill(now) * plan.ceiling_rate * share;
        bucket.refill(now, gained, plan.ceiling_burst * share);
        bucket.tokens()
    }

    /// Records the first attempt of a request, which also takes its units from the hard ceiling.
    pub(crate) fn record_first_attempt(&mut self, claim: &QuotaClaim, context: &Context) {
        let uses_ceiling = has_ceiling(context.plan(claim.plan));
        let record = self.customer(claim.customer);
        if uses_ceiling {
            record.ceiling.take(claim.units);
        }
        record.begin_attempt();
    }

    /// Records a retry, which counts only against the cap on concurrent attempts.
    pub(crate) fn record_retry(&mut self, claim: &QuotaClaim) {
        self.customer(claim.customer).begin_attempt();
    }

    /// Records the end of an attempt.
    pub(crate) fn record_attempt_end(&mut self, customer: CustomerId) {
        if let Some(record) = self.known_customer_mut(customer) {
            record.end_attempt();
        }
    }
}

fn has_ceiling(plan: &Plan) -> bool {
    plan.ceiling_rate > 0.0
}
