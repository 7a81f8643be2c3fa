//! The amounts of one customer in the current window.

use super::counter_calls::{CounterCall, CounterReply};
use crate::api::Outcome;

#[cfg(test)]
mod tests;

/// Fraction of the confirmed amount by which a total may fall short before counts are considered lost.
const LOST_TOLERANCE: f64 = 0.01;

/// Rounding error of the pending amount, in units.
const PENDING_TOLERANCE: f64 = 1e-6;

/// Amounts of one customer in the current window: the counter's total and this limiter's own contribution.
/// Invariant: `confirmed - refunded` is the minimum that the counter must report, because this limiter added
/// it. A lower total proves that the counter lost counts.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowCounts {
    /// Latest total, including the amount that a restarted counter lost.
    pub(super) total: f64,
    /// Own amounts in calls without a reply.
    pub(super) pending: f64,
    /// Own amounts that did not reach the counter; the next call includes them.
    pub(super) unsent: f64,
    /// Own amounts that the counter confirmed.
    pub(super) confirmed: f64,
    /// Own amounts that were refunded.
    pub(super) refunded: f64,
    /// Amount in `total` that a restarted counter lost.
    pub(super) lost: f64,
    /// Own amounts that are or may be included in `total`.
    pub(super) own: f64,
    /// Whether the counter replied with a total of this window.
    pub(super) is_total_known: bool,
}

impl WindowCounts {
    /// Returns the total including all own amounts that it does not contain yet.
    pub(super) fn total_with_own(&self) -> f64 {
        self.total + self.pending + self.unsent
    }

    /// Returns whether a call has no reply yet. Sums of amounts may leave a rounding error.
    pub(super) fn has_pending_call(&self) -> bool {
        self.pending.abs() > PENDING_TOLERANCE
    }

    /// Resets the unsent amount to zero and returns it. The next call must include the returned amount.
    pub(super) fn reset_unsent(&mut self) -> f64 {
        std::mem::take(&mut self.unsent)
    }

    /// Records a call that adds `amount`. A negative amount is a refund.
    pub(super) fn record_call(&mut self, amount: f64) {
        if amount < 0.0 {
            self.refunded -= amount;
        }
    }

    /// Records the reply to a call that adds an amount.
    pub(super) fn record_reply(&mut self, call: &CounterCall, reply: &CounterReply) {
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
        let total_before = total - call.amount;
        self.detect_loss(call, total_before);
        self.confirmed += call.amount.max(0.0);
        self.own += call.amount;
        self.total = total + self.lost;
        self.is_total_known = true;
    }

    /// Detects that the counter lost counts, for example in a restart: its total is below the amount that it
    /// confirmed to this limiter. The lost amount remains part of the total. Only the amount that was confirmed
    /// at the time of the call is expected, because calls may be processed out of order without any loss.
    fn detect_loss(&mut self, call: &CounterCall, total_before: f64) {
        let expected = call.confirmed - self.refunded;
        let tolerance = LOST_TOLERANCE * expected.max(1.0);
        if total_before >= expected - tolerance {
            return;
        }
        self.lost += (self.total - self.lost - total_before).max(0.0);
        self.confirmed = total_before + self.refunded;
    }
}
