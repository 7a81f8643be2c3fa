//! Limits on dispatch: the cap on concurrent attempts and the hard ceiling.

use super::{QuotaClaim, QuotaTracker};
use crate::units::to_seconds;

impl QuotaTracker {
    /// Whether the customer's cap on concurrent attempts allows one more. Each limiter keeps to its share of
    /// the cap, as otherwise every one would grant all of it.
    pub(crate) fn has_open_capacity(&self, claim: &QuotaClaim) -> bool {
        let plan = &self.settings.plans[claim.plan];
        let Some(quota) = self.customers.get(&claim.customer) else {
            return true;
        };
        let share = quota.local_share(claim.spread, plan.burst);
        plan.max_concurrent_attempts == 0
            || f64::from(quota.open_attempts)
                < (f64::from(plan.max_concurrent_attempts) * share).ceil()
    }

    pub(super) fn has_ceiling(&self, claim: &QuotaClaim) -> bool {
        self.settings.plans[claim.plan].ceiling_rate > 0.0
    }

    /// Whether this limiter's share of the hard ceiling lacks the claim's units.
    pub(crate) fn is_ceiling_exhausted(&mut self, claim: &QuotaClaim) -> bool {
        self.has_ceiling(claim) && self.refill_ceiling(claim) < claim.units
    }

    /// Tokens left of the share. It starts empty, as it may have been spent before a restart.
    fn refill_ceiling(&mut self, claim: &QuotaClaim) -> f64 {
        let plan = &self.settings.plans[claim.plan];
        let share = 1.0 / f64::from(claim.spread);
        let quota = self.customers.entry(claim.customer).or_default();
        let since = if quota.ceiling_refilled_at == 0 {
            self.started_at
        } else {
            quota.ceiling_refilled_at
        };
        let gained = to_seconds(self.now - since) * plan.ceiling_rate * share;
        quota.ceiling_tokens = (quota.ceiling_tokens + gained).min(plan.ceiling_burst * share);
        quota.ceiling_refilled_at = self.now;
        quota.ceiling_tokens
    }
}
