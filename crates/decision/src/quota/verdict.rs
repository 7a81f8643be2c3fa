//! Verdicts on claims, by the counter's totals or without them.

use super::counter::MIN_CALL_RATIO;
use super::window::RECENT_UNITS_LIFETIME_SECONDS;
use super::*;
use crate::api::*;
use crate::units::to_seconds;

/// Part of its latency objective that a request waits for the counter at most.
pub(crate) const COUNTER_WAIT_OBJECTIVE_FRACTION: f64 = 0.1;
/// A customer is assumed to use this part of its quota until more is known, which counts like so many units.
const ASSUMED_USE: f64 = 0.7;
const ASSUMED_USE_UNITS: f64 = 4.0;
/// Part of its quota above which a customer is rejected without a call. Bounds of 2.2, 1.6, 1.35 gave better
/// results in this order (0.33, 0.47, 0.51, the mean of six days of 100 limiters).
const MAX_ESTIMATED_USE: f64 = 1.35;
/// Weight of one more request in the mean need, and the lower bound of needs in a quotient.
const NEED_SMOOTHING: f64 = 0.1;
const MIN_NEED: f64 = 1e-9;

impl QuotaTracker {
    /// The verdict on a new request. Stores in the claim what was charged.
    pub(crate) fn claim(
        &mut self,
        id: RequestId,
        claim: &mut QuotaClaim,
        wait: CounterWait,
        actions: &mut Actions,
    ) -> Verdict {
        let window = self.window(claim.plan);
        let sampling = self.sample_call(claim, window);
        let is_skipped = self.call_ratio < 1.0 && wait.draw >= sampling.probability;
        let quota = self.customer(claim.customer, window);
        let is_over = quota.is_over(quota.previous_total, quota.total + quota.unsent, window);
        // A customer whose total is over its limit causes no calls until the estimate has fallen.
        if is_over && quota.is_total_known {
            return Verdict::OverQuota;
        }
        if is_skipped {
            return self.judge_locally(claim);
        }
        let amount = sampling.weight * claim.units + quota.unsent;
        quota.unsent = 0.0;
        quota.pending += amount;
        let key = WindowKey {
            customer: claim.customer,
            window: quota.window,
        };
        claim.charge = Some(Charge {
            window: key.window,
            weight: sampling.weight,
        });
        self.call_counter(key, amount, Some(id), window, actions);
        actions.push(Action::SetTimer {
            timer: Timer::CounterWait { id },
            after: wait.timeout,
        });
        Verdict::AwaitingCounter
    }

    /// Samples the requests that call the counter: more than it answers in time lengthen its queue. The
    /// probability follows the amount that a request would add, as totals are wrong by what they lack.
    fn sample_call(&mut self, claim: &QuotaClaim, window: Window) -> CallSampling {
        let quota = self.customer(claim.customer, window);
        quota.recent_units += claim.units;
        let need = (claim.units + quota.unsent).max(0.0) / window.refill;
        self.mean_need += NEED_SMOOTHING * (need - self.mean_need);
        let relative_need = need.max(MIN_NEED) / self.mean_need.max(MIN_NEED);
        if self.is_frequent(window, claim.spread) {
            return CallSampling {
                probability: (self.call_ratio * relative_need).min(1.0),
                weight: 1.0,
            };
        }
        // No later call includes what an infrequent customer did not send: this one stands for all like it.
        let probability = self.call_ratio.powf(1.0 / relative_need);
        CallSampling {
            probability,
            weight: 1.0 / probability.max(MIN_CALL_RATIO),
        }
    }

    /// The verdict by the estimate over two windows. The previous one is read once, if its total decides.
    pub(crate) fn judge(
        &mut self,
        id: RequestId,
        claim: &QuotaClaim,
        draw: f64,
        actions: &mut Actions,
    ) -> Verdict {
        let window = self.window(claim.plan);
        let is_skipped = draw >= self.call_ratio;
        let quota = self.customer(claim.customer, window);
        let Some(charge) = claim.charge.filter(|charge| charge.window == quota.window) else {
            return self.judge_locally(claim);
        };
        // Of the amount that was added, only the request's own units are its use.
        let total = quota.total - (charge.weight - 1.0) * claim.units;
        if quota.is_over(quota.previous_total, total, window) {
            return Verdict::OverQuota;
        }
        let max_previous = quota
            .previous_total
            .max(quota.previous_credit + window.refill);
        if quota.is_previous_read || !quota.is_over(max_previous, total, window) {
            return Verdict::Pass;
        }
        let is_first = quota.awaiting_previous.is_empty();
        if is_skipped && is_first {
            return self.judge_locally(claim);
        }
        quota.awaiting_previous.push(id);
        if is_first {
            let previous = WindowKey {
                customer: claim.customer,
                window: quota.window.saturating_sub(1),
            };
            self.call_counter(previous, 0.0, None, window, actions);
        }
        Verdict::AwaitingCounter
    }

    /// The verdict without the counter: a customer passes unless known to be over its quota or share.
    pub(crate) fn judge_locally(&mut self, claim: &QuotaClaim) -> Verdict {
        let units = claim.units;
        let rate = self.settings.plans[claim.plan].rate;
        let window = self.window(claim.plan);
        let local_ratio = if self.settings.counter.is_available {
            1.0 - self.call_ratio
        } else {
            1.0
        };
        let is_frequent = self.is_frequent(window, claim.spread);
        let quota = self.customer(claim.customer, window);
        let charge = claim.charge.filter(|charge| charge.window == quota.window);
        let uncharged = if charge.is_some() { 0.0 } else { units };
        let total = quota.total - charge.map_or(0.0, |charge| (charge.weight - 1.0) * units);
        let share = quota.local_share(claim.spread, window.refill);
        let gained = to_seconds(window.now - quota.local_refilled_at) * rate * share * local_ratio;
        quota.local_tokens = (quota.local_tokens + gained).min((window.refill * share).max(units));
        quota.local_refilled_at = window.now;
        if quota.is_over(quota.previous_total, total, window) {
            return Verdict::OverQuota;
        }
        // Without its share, every limiter would grant the whole credit against totals that it does not know.
        let scaled = total + (quota.pending + quota.unsent + uncharged) / share;
        let exceeds_share = window.estimate(quota.previous_total, scaled) > window.refill;
        // A share too small for tokens still shows a customer far over its quota.
        let expected =
            rate * RECENT_UNITS_LIFETIME_SECONDS / f64::from(claim.spread) + ASSUMED_USE_UNITS;
        let estimated_use = (quota.recent_units + ASSUMED_USE * ASSUMED_USE_UNITS) / expected;
        let lacks_tokens = quota.local_tokens < units && exceeds_share;
        let is_over_share = if is_frequent {
            lacks_tokens
        } else {
            estimated_use > MAX_ESTIMATED_USE
        };
        if is_over_share {
            return Verdict::OverLocalShare;
        }
        quota.local_tokens -= units;
        quota.unsent += if is_frequent { uncharged } else { 0.0 };
        Verdict::Pass
    }
}
