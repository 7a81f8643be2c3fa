//! State of one customer at this limiter: its counts in two windows, this limiter's share of the quota, and the
//! attempts in flight.

use super::counts::WindowCounts;
use super::window::Window;
use crate::api::{Nanos, RequestId};
use crate::primitives::{remaining_fraction, TokenBucket};

mod snapshot;
#[cfg(test)]
mod tests;

/// Seconds in which the recent units of a customer fall by a factor of e.
pub(super) const RECENT_UNITS_LIFETIME_SECONDS: f64 = 15.0;

/// Amounts of one customer in the previous window.
#[derive(Clone, Debug, Default)]
pub(super) struct PreviousWindow {
    /// Credit at the start of the window.
    pub(super) credit: f64,
    /// Total of the window; a lower bound until it has been read after the window's end.
    pub(super) total: f64,
    /// Own amounts in the window.
    pub(super) own: f64,
    /// Whether the counter has replied with the final total.
    pub(super) is_read: bool,
    /// Requests that wait for the final total.
    pub(super) awaiting_read: Vec<RequestId>,
}

/// State of one customer at this limiter.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerRecord {
    /// Index of the current window.
    pub(super) window: u64,
    pub(super) current: WindowCounts,
    pub(super) previous: PreviousWindow,
    /// Tokens of this limiter's share of the hard ceiling.
    pub(super) ceiling: TokenBucket,
    /// Tokens of this limiter's share of the quota, for decisions without the counter.
    pub(super) local_tokens: TokenBucket,
    pub(super) attempts_in_flight: u32,
    /// Units requested through this limiter, which decay over time.
    pub(super) recent_units: f64,
    /// Time of the last request.
    pub(super) last_seen: Nanos,
    /// Whether a request arrived since the record was created or last considered for removal.
    pub(super) has_sent_again: bool,
}

impl CustomerRecord {
    /// Creates the record of a new customer. The share of the hard ceiling is empty at the limiter's start,
    /// because it may have been spent before a restart.
    pub(super) fn new(limiter_started_at: Nanos) -> Self {
        CustomerRecord {
            ceiling: TokenBucket::new(0.0, limiter_started_at),
            ..CustomerRecord::default()
        }
    }

    /// Advances the record to `now`: decays the recent units and starts a new window when it is due.
    pub(super) fn roll_over(&mut self, window: &Window, now: Nanos) {
        let idle = now.saturating_sub(self.last_seen);
        self.recent_units *= remaining_fraction(idle, RECENT_UNITS_LIFETIME_SECONDS);
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
            // The previous window had no request at this limiter. Its use is unknown and assumed to be zero.
            self.previous.credit = window.max_credit;
            self.previous.total = 0.0;
            self.previous.own = 0.0;
        }
        self.previous.is_read = false;
        self.window = window.index;
    }

    /// Returns the credit at the start of the current window, given the total of the previous one: the unused
    /// part of the previous window's credit and refill, limited to the maximum credit.
    fn credit(&self, previous_total: f64, window: &Window) -> f64 {
        (self.previous.credit + window.refill - previous_total).clamp(0.0, window.max_credit)
    }

    /// Returns whether the sliding window estimate exceeds its limit, both in units.
    ///
    /// The estimate is the previous total, weighted by the overlap of its window with the sliding window, plus
    /// the current total. The limit is the credit, plus the refill so far, plus the same weighted previous
    /// total. The limit follows the customer's use: with a fixed limit, a customer that has spent its burst would
    /// get as much as an idle one.
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

    /// Returns whether the counter's total shows that the customer is over its quota. Such a customer causes no
    /// counter calls until the estimate has fallen.
    pub(super) fn is_known_over_quota(&self, window: &Window) -> bool {
        let total = self.current.total + self.current.unsent;
        self.current.is_total_known && self.is_over_quota(self.previous.total, total, window)
    }

    /// Returns the maximum final total of the previous window: its credit and refill, or the known total if
    /// that is higher.
    pub(super) fn max_previous_total(&self, window: &Window) -> f64 {
        self.previous
            .total
            .max(self.previous.credit + window.refill)
    }

    /// Returns an estimate of this limiter's share of the customer's use, in 0..=1: its own part of the known
    /// totals, mixed with an even share across `spread` limiters that has a weight of `units`.
    pub(super) fn local_share(&self, spread: u32, units: f64) -> f64 {
        let own = self.current.own + self.previous.own;
        let all = self.current.total + self.previous.total;
        ((own + units / f64::from(spread)) / (all.max(own) + units)).min(1.0)
    }

    /// Counts a new attempt in flight.
    pub(super) fn begin_attempt(&mut self) {
        self.attempts_in_flight += 1;
    }

    /// Removes an attempt from the count of those in flight.
    pub(super) fn end_attempt(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }

    /// Returns whether an attempt, a counter call or a decision of the customer is pending.
    pub(super) fn has_request_in_progress(&self) -> bool {
        self.attempts_in_flight > 0
            || self.current.has_pending_call()
            || !self.previous.awaiting_read.is_empty()
    }

    /// Returns whether the record is still needed: attempts are in flight, or a request arrived since `oldest`.
    pub(super) fn is_in_use(&self, oldest: Nanos) -> bool {
        self.attempts_in_flight > 0 || self.last_seen >= oldest
    }
}
