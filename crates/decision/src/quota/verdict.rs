//! Verdicts on claims, based on the counter's totals or on local knowledge.

use super::call_sampler::{CallSampling, CustomerFrequency};
use super::claim::{Charge, QuotaClaim, Verdict};
use super::counter_calls::WindowKey;
use super::record::{CustomerRecord, RECENT_UNITS_LIFETIME_SECONDS};
use super::tracker::{frequency_of, window_of};
use super::window::Window;
use super::QuotaTracker;
use crate::api::{Nanos, Plan, RequestId, Timer};
use crate::context::Context;

/// Fraction of its quota that a customer is assumed to use until more is known.
const ASSUMED_USE: f64 = 0.7;
/// Weight of [`ASSUMED_USE`] in the estimated use, in units.
const ASSUMED_USE_UNITS: f64 = 4.0;
/// Estimated use, as a fraction of the quota, above which an infrequent customer is rejected without a counter
/// call.
const MAX_ESTIMATED_USE: f64 = 1.35;

impl QuotaTracker {
    /// Returns the verdict on a new request. If it depends on the counter, the request waits for up to
    /// `timeout` and the claim's `charge` is set.
    pub(crate) fn claim(
        &mut self,
        id: RequestId,
        claim: &mut QuotaClaim,
        timeout: Nanos,
        context: &mut Context,
    ) -> Verdict {
        let random_sample = context.random_fraction();
        let window = window_of(claim.plan, context);
        let sampling = self.sample_call(claim, &window, context);
        let record = self.current_customer(claim.customer, &window, context.now());
        if record.is_known_over_quota(&window) {
            return Verdict::OverQuota;
        }
        if self.sampler.is_call_skipped(sampling, random_sample) {
            return self.judge_locally(claim, context);
        }
        self.charge(id, claim, sampling, &window, context);
        context.set_timer(Timer::CounterWait { id }, timeout);
        Verdict::AwaitingCounter
    }

    /// Adds a request's units to its customer's count, together with unsent amounts.
    fn charge(
        &mut self,
        id: RequestId,
        claim: &mut QuotaClaim,
        sampling: CallSampling,
        window: &Window,
        context: &mut Context,
    ) {
        let record = self.current_customer(claim.customer, window, context.now());
        let amount = sampling.weight * claim.units + record.current.take_unsent();
        record.current.pending += amount;
        let key = WindowKey {
            customer: claim.customer,
            window: record.window,
        };
        claim.charge = Some(Charge {
            window: key.window,
            weight: sampling.weight,
        });
        self.call_counter(key, amount, Some(id), window, context);
    }

    /// Records a request's units and need, and returns how the request is sampled for a counter call.
    fn sample_call(
        &mut self,
        claim: &QuotaClaim,
        window: &Window,
        context: &Context,
    ) -> CallSampling {
        let record = self.current_customer(claim.customer, window, context.now());
        record.recent_units += claim.units;
        let amount = (claim.units + record.current.unsent).max(0.0);
        let need = amount / window.refill;
        self.sampler
            .sample(need, frequency_of(claim, window, context))
    }

    /// Returns the verdict by the sliding window estimate once the counter's total is known. The total of the
    /// previous window is read once, and only if the verdict depends on it.
    pub(crate) fn judge(
        &mut self,
        id: RequestId,
        claim: &QuotaClaim,
        context: &mut Context,
    ) -> Verdict {
        let window = window_of(claim.plan, context);
        let is_read_skipped = self.sampler.is_read_skipped(context.random_fraction());
        let record = self.current_customer(claim.customer, &window, context.now());
        let Some(charge) = claim.charge_in(record.window) else {
            return self.judge_locally(claim, context);
        };
        // Only the request's own units of the added amount are its use.
        let total = record.current.total - charge.amount_for_others(claim.units);
        if record.is_over_quota(record.previous.total, total, &window) {
            return Verdict::OverQuota;
        }
        let max_previous = record.max_previous_total(&window);
        if record.previous.is_read || !record.is_over_quota(max_previous, total, &window) {
            return Verdict::Pass;
        }
        let is_first = record.previous.awaiting_read.is_empty();
        if is_read_skipped && is_first {
            return self.judge_locally(claim, context);
        }
        record.previous.awaiting_read.push(id);
        if is_first {
            let previous = WindowKey {
                customer: claim.customer,
                window: record.window.saturating_sub(1),
            };
            self.call_counter(previous, 0.0, None, &window, context);
        }
        Verdict::AwaitingCounter
    }

    /// Returns the verdict without a counter reply. A claim passes unless its customer is known to be over its
    /// quota or is over this limiter's share of it.
    pub(crate) fn judge_locally(&mut self, claim: &QuotaClaim, context: &Context) -> Verdict {
        let plan = context.plan(claim.plan);
        let window = window_of(claim.plan, context);
        let frequency = frequency_of(claim, &window, context);
        let local_ratio = self.local_ratio(context);
        let record = self.current_customer(claim.customer, &window, context.now());
        let share = record.local_share(claim.spread, window.refill);
        let since_refill = record.local_tokens.seconds_since_refill(context.now());
        // The order of the factors determines the rounding.
        let gained = since_refill * plan.rate * share * local_ratio;
        let capacity = (window.refill * share).max(claim.units);
        record.local_tokens.refill(context.now(), gained, capacity);

        let use_in_window = LocalUse::of_claim(claim, record);
        if record.is_over_quota(record.previous.total, use_in_window.total, &window) {
            return Verdict::OverQuota;
        }
        let is_over_share = match frequency {
            CustomerFrequency::Frequent => {
                record.local_tokens.tokens() < claim.units
                    && use_in_window.exceeds_share(record, &window, share)
            }
            CustomerFrequency::Infrequent => estimated_use(record, claim, plan) > MAX_ESTIMATED_USE,
        };
        if is_over_share {
            return Verdict::OverLocalShare;
        }
        record.local_tokens.take(claim.units);
        if frequency == CustomerFrequency::Frequent {
            record.current.unsent += use_in_window.uncharged;
        }
        Verdict::Pass
    }

    /// Returns the fraction of the requests whose verdict is made without the counter.
    fn local_ratio(&self, context: &Context) -> f64 {
        if context.settings().counter.is_available {
            1.0 - self.call_ratio()
        } else {
            1.0
        }
    }
}

/// Use of a customer in the current window, as known to this limiter without a counter reply.
struct LocalUse {
    /// Latest total, less the amount that the claim's charge added for other requests.
    total: f64,
    /// Units of the claim that no counter call has added.
    uncharged: f64,
}

impl LocalUse {
    fn of_claim(claim: &QuotaClaim, record: &CustomerRecord) -> Self {
        let charge = claim.charge_in(record.window);
        let charged_for_others = charge.map_or(0.0, |charge| charge.amount_for_others(claim.units));
        LocalUse {
            total: record.current.total - charged_for_others,
            uncharged: if charge.is_some() { 0.0 } else { claim.units },
        }
    }

    /// Returns whether the use exceeds the refill of a window. This limiter's own units that are in no total
    /// yet are scaled up by its share to represent those of all limiters. Without the scaling, every limiter
    /// would grant the full credit against totals that it does not know.
    fn exceeds_share(&self, record: &CustomerRecord, window: &Window, share: f64) -> bool {
        let counts = &record.current;
        let scaled = self.total + (counts.pending + counts.unsent + self.uncharged) / share;
        window.estimate(record.previous.total, scaled) > window.refill
    }
}

/// Estimates the use of an infrequent customer, as a fraction of its quota, from the units that recently
/// arrived at this limiter. Even where its share is too small for tokens, this shows a customer far over its
/// quota.
fn estimated_use(record: &CustomerRecord, claim: &QuotaClaim, plan: &Plan) -> f64 {
    let even_share = plan.rate * RECENT_UNITS_LIFETIME_SECONDS / f64::from(claim.spread);
    let expected_units = even_share + ASSUMED_USE_UNITS;
    (record.recent_units + ASSUMED_USE * ASSUMED_USE_UNITS) / expected_units
}
