//! What this limiter knows of one customer: its counts in two windows, its share of the quota, and its
//! attempts in flight.

use super::counts::WindowCounts;
use super::window::Window;
use crate::api::{Nanos, RequestId};
use crate::primitives::{remaining_fraction, TokenBucket};

mod snapshot;
#[cfg(test)]
mod tests;

/// Units seen at this limiter fall by a factor of e in this many seconds.
pub(super) const RECENT_UNITS_LIFETIME_SECONDS: f64 = 15.0;

/// The previous window of one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct PreviousWindow {
    /// Credit at its start.
    pub(super) credit: f64,
    /// Its total. Until it has been read after its end, a lower bound.
    pub(super) total: f64,
    /// Own amounts in it.
    pub(super) own: f64,
    /// Whether the counter replied with its final total.
    pub(super) is_read: bool,
    /// Requests that wait for that reply.
    pub(super) awaiting_read: Vec<RequestId>,
}

/// One customer as this limiter knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerRecord {
    /// Index of the current window.
    pub(super) window: u64,
    pub(super) current: WindowCounts,
    pub(super) previous: PreviousWindow,
    /// Tokens of this limiter's share of the hard ceiling.
    pub(super) ceiling: TokenBucket,
    /// Tokens of this limiter's share of the quota, for verdicts without the counter.
    pub(super) local_tokens: TokenBucket,
    pub(super) attempts_in_flight: u32,
    /// Units requested through this limiter, which decay with time.
    pub(super) recent_units: f64,
    /// Time of the last request.
    pub(super) last_seen: Nanos,
}

impl CustomerRecord {
    /// A new customer's record. The share of the hard ceiling starts empty at the limiter's start: it may have
    /// been spent before a restart.
    pub(super) fn new(limiter_started_at: Nanos) -> Self {
        CustomerRecord {
            ceiling: TokenBucket::new(0.0, limiter_started_at),
            ..CustomerRecord::default()
        }
    }

    /// Brings the record to the present: recent units decay, and a new window starts when it is due.
    pub(super) fn roll_over(&mut self, window: &Window, now: Nanos) {
        let unseen = now.saturating_sub(self.last_seen);
        self.recent_units *= remaining_fraction(unseen, RECENT_UNITS_LIFETIME_SECONDS);
        self.last_seen = now;
        if self.window != window.index {
            self.start_window(window);
        }
    }

    fn start_window(&mut self, window: &Window) {
        let ended = std::mem::take(&mut self.current);
        if self.window + 1 == window.index {
            self.previous.credit = self.credit(self.previous.total, window);
            self.previous.total = ended.total_with_own();
            self.previous.own = ended.own;
        } else {
            // No request came in the window between: its use is unknown and assumed to be none.
            self.previous.credit = window.max_credit;
            self.previous.total = 0.0;
            self.previous.own = 0.0;
        }
        self.previous.is_read = false;
        self.window = window.index;
    }

    /// Credit at the start of the current window, given the total of the previous one: the units that it left
    /// of its own credit and refill, up to the maximum.
    fn credit(&self, previous_total: f64, window: &Window) -> f64 {
        (self.previous.credit + window.refill - previous_total).clamp(0.0, window.max_credit)
    }

    /// Whether the sliding window estimate exceeds its limit (units): the credit, the refill so far, and the
    /// weighted use of the previous window. In the article's terms: previous count times the overlap, plus the
    /// current count, against a limit that follows the customer's use. With a fixed limit, a customer that spent its burst would get as much as an
    /// idle one.
    pub(super) fn is_over_quota(
        &self,
        previous_total: f64,
        current_total: f64,
        window: &Window,
    ) -> bool {
        let progress = window.progress();
        let limit = self.credit(previous_total, window)
            + progress * window.refill
            + (1.0 - progress) * previous_total;
        window.estimate(previous_total, current_total) > limit
    }

    /// Whether the counter's total shows that the customer is over its quota. Such a customer causes no calls
    /// until the estimate has fallen.
    pub(super) fn is_known_over_quota(&self, window: &Window) -> bool {
        let total = self.current.total + self.current.unsent;
        self.current.is_total_known && self.is_over_quota(self.previous.total, total, window)
    }

    /// The highest total that the previous window may turn out to have: its credit and refill.
    pub(super) fn max_previous_total(&self, window: &Window) -> f64 {
        self.previous
            .total
            .max(self.previous.credit + window.refill)
    }

    /// This limiter's share of the customer's use, in 0..=1: an even one, adjusted by the known totals.
    /// `units` is the weight of the even share.
    pub(super) fn local_share(&self, spread: u32, units: f64) -> f64 {
        let own = self.current.own + self.previous.own;
        let all = self.current.total + self.previous.total;
        ((own + units / f64::from(spread)) / (all.max(own) + units)).min(1.0)
    }

    /// Counts an attempt in flight.
    pub(super) fn begin_attempt(&mut self) {
        self.attempts_in_flight += 1;
    }

    /// Ends an attempt in flight.
    pub(super) fn end_attempt(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }

    /// Whether the record is still needed: attempts are in flight, or a request came since `oldest`.
    pub(super) fn is_in_use(&self, oldest: Nanos) -> bool {
        self.attempts_in_flight > 0 || self.last_seen >= oldest
    }
}
