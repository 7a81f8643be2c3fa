//! Calls to the counter service and their replies.

use super::*;
use crate::api::*;
use std::collections::VecDeque;

/// Part of the counter's timeout that its replies may take; the call ratio follows it.
const TARGET_DELAY: f64 = 0.65;
const CALL_RATIO_GAIN: f64 = 0.5;
/// Lower bound of the call ratio: the recovery of a failed counter shows only in replies.
pub(crate) const MIN_CALL_RATIO: f64 = 0.1;
/// Multiples of the minimum ratio at which the counter is logged as degraded, and as recovered.
const DEGRADED_BELOW: f64 = 2.0;
const RECOVERED_ABOVE: f64 = 4.0;
/// A total may fall short of the confirmed amount by this part of it before the count is taken for lost.
const LOST_TOLERANCE: f64 = 0.01;

impl QuotaTracker {
    /// Calls the counter for a window's count, which is kept until the end of the window after it.
    pub(super) fn call_counter(
        &mut self,
        key: WindowKey,
        amount: f64,
        request: Option<RequestId>,
        window: Window,
        actions: &mut Actions,
    ) {
        let name = key.counter_name();
        let end = (key.window + 2).saturating_mul(window.length);
        let keep_for = end.saturating_sub(window.now).max(window.length);
        actions.push(Action::Count {
            name: name.clone(),
            amount,
            keep_for,
        });
        let quota = self.customers.entry(key.customer).or_default();
        quota.refunded += if quota.window == key.window {
            (-amount).max(0.0)
        } else {
            0.0
        };
        let call = CounterCall {
            key,
            amount,
            request,
            confirmed: quota.confirmed,
        };
        self.calls.entry(name).or_default().push_back(call);
    }

    /// Corrects the charge of a claim by a number of units.
    pub(crate) fn adjust(
        &mut self,
        claim: &QuotaClaim,
        units: f64,
        correction: Correction,
        actions: &mut Actions,
    ) {
        let Some(charge) = claim.charge else { return };
        let amount = charge.weight * units;
        let window = self.window(claim.plan);
        // A call for each settlement would overload the counter: a frequent customer's next call includes it.
        let may_wait =
            correction == Correction::Settlement && self.is_frequent(window, claim.spread);
        let quota = self.customer(claim.customer, window);
        let is_current = quota.window == charge.window;
        if may_wait && is_current {
            quota.unsent += amount;
            return;
        }
        quota.pending += if is_current { amount } else { 0.0 };
        let key = WindowKey {
            customer: claim.customer,
            window: charge.window,
        };
        self.call_counter(key, amount, None, window, actions);
    }

    /// Records the reply to a call. Returns the requests that it makes ready for a verdict.
    pub(crate) fn record_reply(
        &mut self,
        name: &str,
        reply: CounterReply,
        actions: &mut Actions,
    ) -> Option<ReadyForVerdict> {
        // Replies for a name come in the order of the calls.
        let call = self.calls.get_mut(name).and_then(VecDeque::pop_front)?;
        self.adjust_call_ratio(&reply, actions);
        let is_good = reply.outcome == Outcome::Good;
        let quota = self.customers.entry(call.key.customer).or_default();
        if call.request.is_none() && call.amount == 0.0 {
            if quota.window == call.key.window + 1 {
                let least = if is_good {
                    reply.total
                } else {
                    quota.previous_total
                };
                quota.previous_total = quota.previous_total.max(least);
                quota.is_previous_read = is_good;
            }
            let requests = std::mem::take(&mut quota.awaiting_previous);
            return Some(ReadyForVerdict {
                requests,
                basis: VerdictBasis::CounterTotal,
            });
        }
        if quota.window == call.key.window {
            quota.record_add(&call, &reply);
        }
        let basis = if is_good {
            VerdictBasis::CounterTotal
        } else {
            VerdictBasis::LocalKnowledge
        };
        Some(ReadyForVerdict {
            requests: Vec::from_iter(call.request),
            basis,
        })
    }

    /// Adjusts the part of the requests that call the counter: less as replies approach the timeout or fail.
    fn adjust_call_ratio(&mut self, reply: &CounterReply, actions: &mut Actions) {
        let part = reply.elapsed as f64 / self.settings.counter.timeout.max(1) as f64;
        let delay = if reply.outcome == Outcome::Good {
            part
        } else {
            1.0
        };
        let change = (CALL_RATIO_GAIN * (TARGET_DELAY - delay)).exp();
        self.call_ratio = (self.call_ratio * change).clamp(MIN_CALL_RATIO, 1.0);
        let threshold = if self.is_counter_degraded {
            RECOVERED_ABOVE
        } else {
            DEGRADED_BELOW
        };
        let is_degraded = self.call_ratio <= MIN_CALL_RATIO * threshold;
        if is_degraded != self.is_counter_degraded {
            self.is_counter_degraded = is_degraded;
            let event = if is_degraded {
                LogEvent::CounterDegraded
            } else {
                LogEvent::CounterRecovered
            };
            actions.push(Action::Log { event });
        }
    }
}

impl CustomerQuota {
    /// Records the reply to an add in the current window.
    fn record_add(&mut self, call: &CounterCall, reply: &CounterReply) {
        self.pending -= call.amount;
        match reply.outcome {
            Outcome::Good => self.record_total(call, reply.total),
            Outcome::Timeout => {
                // The counter may have added the amount.
                self.total += call.amount;
                self.own += call.amount;
            }
            _ => self.unsent += call.amount,
        }
    }

    fn record_total(&mut self, call: &CounterCall, total: f64) {
        // A count below what this limiter added was lost, and what was known of it still holds. Only what was
        // confirmed at the time of the call is expected: calls that overtook each other are no loss.
        let total_before = total - call.amount;
        let expected = call.confirmed - self.refunded;
        if total_before < expected - LOST_TOLERANCE * expected.max(1.0) {
            self.lost += (self.total - self.lost - total_before).max(0.0);
            self.confirmed = total_before + self.refunded;
        }
        self.confirmed += call.amount.max(0.0);
        self.own += call.amount;
        self.total = total + self.lost;
        self.is_total_known = true;
    }
}
