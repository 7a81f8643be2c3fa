//! Upkeep of the customers' records.

use super::{CustomerQuota, QuotaClaim, QuotaTracker, Window};
use crate::api::{CustomerId, Nanos, Plan, Settings};
use crate::units::{to_nanos, SECOND};
use std::sync::Arc;

impl QuotaTracker {
    pub(crate) fn new(settings: Arc<Settings>, now: Nanos) -> Self {
        QuotaTracker {
            settings,
            started_at: now,
            call_ratio: 1.0,
            ..QuotaTracker::default()
        }
    }

    /// The customer's record, rolled over to the current window.
    pub(super) fn customer(&mut self, customer: CustomerId, window: Window) -> &mut CustomerQuota {
        let quota = self.customers.entry(customer).or_default();
        quota.roll_over(window);
        quota
    }

    /// Records the first attempt of a request, which uses the ceiling.
    pub(crate) fn record_first_attempt(&mut self, claim: &QuotaClaim) {
        let units = if self.has_ceiling(claim) {
            claim.units
        } else {
            0.0
        };
        let quota = self.customers.entry(claim.customer).or_default();
        quota.ceiling_tokens -= units;
        quota.open_attempts += 1;
    }

    /// Records a retry, which counts against the cap on concurrent attempts only.
    pub(crate) fn record_retry(&mut self, claim: &QuotaClaim) {
        self.customers
            .entry(claim.customer)
            .or_default()
            .open_attempts += 1;
    }

    /// Records the end of an attempt.
    pub(crate) fn record_attempt_end(&mut self, customer: CustomerId) {
        if let Some(quota) = self.customers.get_mut(&customer) {
            quota.open_attempts = quota.open_attempts.saturating_sub(1);
        }
    }

    /// Removes customers once both of their windows are over and their ceiling has refilled. Kept, customers
    /// that come once would accumulate.
    pub(crate) fn remove_unused(&mut self) {
        let with_rate =
            (0..self.settings.plans.len()).filter(|&plan| self.settings.plans[plan].rate > 0.0);
        let windows = with_rate
            .map(|plan| 2 * self.window(plan).length)
            .max()
            .unwrap_or(0);
        let refill_time = |plan: &Plan| to_nanos(plan.ceiling_burst / plan.ceiling_rate);
        let with_ceiling = self
            .settings
            .plans
            .iter()
            .filter(|plan| plan.ceiling_rate > 0.0);
        let lifetime = with_ceiling
            .map(refill_time)
            .max()
            .unwrap_or(0)
            .max(windows)
            .max(SECOND);
        let oldest = self.now.saturating_sub(lifetime);
        self.customers
            .retain(|_, quota| quota.open_attempts > 0 || quota.last_seen >= oldest);
        self.calls.retain(|_, calls| !calls.is_empty());
    }
}
