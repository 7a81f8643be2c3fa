//! Verdicts on claims, by the counter's totals or without them.

use super::call_sampler::{CallSampling, CustomerFrequency};
use super::claim::{Charge, QuotaClaim, Verdict};
use super::counter_calls::WindowKey;
use super::record::{CustomerRecord, RECENT_UNITS_LIFETIME_SECONDS};
use super::tracker::{frequency_of, window_of};
use super::window::Window;
use super::QuotaTracker;
use crate::api::{Nanos, Plan, RequestId, Timer};
use crate::context::Context;

/// A customer is assumed to use this part of its quota until more is known, which counts like so many units.
const ASSUMED_USE: f64 = 0.7;
const ASSUMED_USE_UNITS: f64 = 4.0;
/// Part of its quota above which a customer is rejected without a call. Bounds of 2.2, 1.6, 1.35 gave better
/// results in this order (0.33, 0.47, 0.51, the mean of six days of 100 limiters).
const MAX_ESTIMATED_USE: f64 = 1.35;

impl QuotaTracker {
    /// The verdict on a new request, which may wait for the counter up to a timeout. Stores in the claim how it
    /// was charged.
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

    /// Adds a request's units to its customer's count, together with amounts that no call has included yet.
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

    /// Records a request's need and samples whether it calls the counter.
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

    /// The verdict by the sliding window estimate, once the counter's total is known. The total of the previous
    /// window is read once, if it decides.
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
        // Of the added amount, only the request's own units are its use.
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

    /// The verdict without the counter: a customer passes unless it is known to be over its quota, or over this
    /// limiter's share of it.
    pub(crate) fn judge_locally(&mut self, claim: &QuotaClaim, context: &Context) -> Verdict {
        let plan = context.plan(claim.plan);
        let window = window_of(claim.plan, context);
        let frequency = frequency_of(claim, &window, context);
        let local_ratio = self.local_ratio(context);
        let record = self.current_customer(claim.customer, &window, context.now());
        let share = record.local_share(claim.spread, window.refill);
        let since_refill = record.local_tokens.seconds_since_refill(context.now());
        // Multiplied in this order: another one rounds otherwise.
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

    /// Part of the requests that is judged without the counter.
    fn local_ratio(&self, context: &Context) -> f64 {
        if context.settings().counter.is_available {
            1.0 - self.call_ratio()
        } else {
            1.0
        }
    }
}

/// A customer's use in the current window as this limiter knows it when it judges a claim.
struct LocalUse {
    /// Total of the counter, less the amount that the claim's charge added for other requests.
    total: f64,
    /// Units of the claim that no call has added.
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

    /// Whether the use exceeds the refill of a window, where this limiter's own units that are in no total
    /// stand for those of all limiters. Unscaled, every limiter would grant the whole credit against totals
    /// that it does not know.
    fn exceeds_share(&self, record: &CustomerRecord, window: &Window, share: f64) -> bool {
        let counts = &record.current;
        let scaled = self.total + (counts.pending + counts.unsent + self.uncharged) / share;
        window.estimate(record.previous.total, scaled) > window.refill
    }
}

/// Use of an infrequent customer as a part of its quota, by the units that came through this limiter recently.
/// A share too small for tokens still shows a customer far over its quota.
fn estimated_use(record: &CustomerRecord, claim: &QuotaClaim, plan: &Plan) -> f64 {
    let even_part = plan.rate * RECENT_UNITS_LIFETIME_SECONDS / f64::from(claim.spread);
    let expected_units = even_part + ASSUMED_USE_UNITS;
    (record.recent_units + ASSUMED_USE * ASSUMED_USE_UNITS) / expected_units
}
