//! Windows of a quota, and the estimate of a customer's use over two of them.

use super::{CustomerQuota, QuotaClaim, QuotaTracker, Window};
use crate::api::Nanos;
use crate::units::{to_nanos, to_seconds};

/// Window length in bursts. A longer one grants too much at once, a shorter one is read too rarely.
const WINDOW_LENGTH_BURSTS: f64 = 1.25;
/// Shortest window, and longest: a count lives for 60 s at most and must outlast two windows.
const MIN_WINDOW_SECONDS: f64 = 0.1;
const MAX_WINDOW_SECONDS: f64 = 25.0;
/// Maximum credit at the start of a window in bursts. A full burst would also grant what passes at other
/// limiters before their adds are known. On two sites 0.5 and 0.6 perform alike, 0.7 is worse on one, 1 on
/// both.
const MAX_CREDIT_BURSTS: f64 = 0.55;
/// Units seen at this limiter fall by a factor of e in this many seconds.
pub(super) const RECENT_UNITS_LIFETIME_SECONDS: f64 = 15.0;
/// A customer is frequent at a limiter if its even part of a window is this multiple of a largest request.
const FREQUENT_CUSTOMER_REQUESTS: f64 = 0.5;

impl QuotaTracker {
    pub(super) fn window(&self, plan: usize) -> Window {
        let plan = &self.settings.plans[plan];
        let burst = plan
            .burst
            .max(self.settings.units.largest_request / WINDOW_LENGTH_BURSTS);
        let seconds = (WINDOW_LENGTH_BURSTS * burst / plan.rate)
            .clamp(MIN_WINDOW_SECONDS, MAX_WINDOW_SECONDS);
        Window {
            length: to_nanos(seconds).max(1),
            now: self.now,
            refill: (plan.rate * seconds).max(WINDOW_LENGTH_BURSTS * burst),
            max_credit: (MAX_CREDIT_BURSTS * burst).max(self.settings.units.largest_request),
        }
    }

    /// How long until the customer's next window.
    pub(crate) fn time_to_next_window(&self, claim: &QuotaClaim) -> Nanos {
        let window = self.window(claim.plan);
        window.length - window.now % window.length
    }

    /// Whether a customer's requests come through this limiter often enough for one to make up for another.
    pub(super) fn is_frequent(&self, window: Window, spread: u32) -> bool {
        let least = FREQUENT_CUSTOMER_REQUESTS * self.settings.units.largest_request;
        !self.settings.counter.is_available || window.refill / f64::from(spread) >= least
    }
}

impl Window {
    /// Part of the current window that has passed.
    fn progress(&self) -> f64 {
        (self.now % self.length) as f64 / self.length as f64
    }

    /// Estimated use in the length of one window up to now: the previous total counts by the part of its
    /// window that is still within that length.
    pub(super) fn estimate(&self, previous: f64, current: f64) -> f64 {
        previous * (1.0 - self.progress()) + current
    }
}

impl CustomerQuota {
    /// Brings the record to the present: recent units fade, and a new window starts when it is due.
    pub(super) fn roll_over(&mut self, window: Window) {
        let unseen = to_seconds(window.now.saturating_sub(self.last_seen));
        self.recent_units *= (-unseen / RECENT_UNITS_LIFETIME_SECONDS).exp();
        self.last_seen = window.now;
        let index = window.now / window.length;
        if self.window == index {
            return;
        }
        // What is known of a window is a lower bound on its total until that has been read.
        let is_next = self.window + 1 == index;
        self.previous_credit = if is_next {
            self.credit(self.previous_total, window)
        } else {
            window.max_credit
        };
        self.previous_total = if is_next {
            self.total + self.pending + self.unsent
        } else {
            0.0
        };
        self.previous_own = if is_next { self.own } else { 0.0 };
        self.clear_counts(index);
    }

    /// Credit at the start of the current window, given the use in the previous one.
    fn credit(&self, previous: f64, window: Window) -> f64 {
        (self.previous_credit + window.refill - previous).clamp(0.0, window.max_credit)
    }

    /// Whether the estimated use is over its limit: credit, refill so far, and the weighted use of the
    /// previous window. With a fixed limit, a customer that spent its burst would get as much as an idle one.
    pub(super) fn is_over(&self, previous: f64, current: f64, window: Window) -> bool {
        let progress = window.progress();
        let limit =
            self.credit(previous, window) + progress * window.refill + (1.0 - progress) * previous;
        window.estimate(previous, current) > limit
    }

    /// This limiter's share of the customer's use: an even one, adjusted by the known totals.
    pub(super) fn local_share(&self, spread: u32, limit: f64) -> f64 {
        let own = self.own + self.previous_own;
        let all = self.total + self.previous_total;
        ((own + limit / f64::from(spread)) / (all.max(own) + limit)).min(1.0)
    }
}
