//! Quota windows with their length, refill and credit, and the sliding window estimate.

use crate::api::{Nanos, Plan, Settings};
use crate::time::to_nanos;

#[cfg(test)]
mod tests;

/// Window length, as a multiple of the time in which a burst refills. A longer window grants too much at once,
/// and a shorter one is read too rarely.
const WINDOW_LENGTH_BURSTS: f64 = 1.25;
/// Minimum window length in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.1;
/// Maximum window length in seconds. A count lives for at most 60 s and must outlast two windows.
const MAX_WINDOW_SECONDS: f64 = 25.0;
/// Maximum credit at the start of a window, in bursts. A full burst would be exceeded by the units that other
/// limiters grant before their additions to the count are known.
const MAX_CREDIT_BURSTS: f64 = 0.55;
/// Minimum even share of a window's refill at which a customer counts as frequent at a limiter, as a multiple
/// of the largest request.
const FREQUENT_CUSTOMER_REQUESTS: f64 = 0.5;

/// Current window of a plan. Window boundaries are multiples of the length since the epoch, so they are the
/// same at all limiters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Window {
    /// Number of windows between the epoch and this one.
    pub(super) index: u64,
    /// Time since the start of the window.
    elapsed: Nanos,
    pub(super) length: Nanos,
    /// Units that refill during one window.
    pub(super) refill: f64,
    /// Maximum credit at the start of a window, in units.
    pub(super) max_credit: f64,
}

impl Window {
    /// Returns the window of a plan at `now`.
    pub(super) fn of_plan(plan: &Plan, settings: &Settings, now: Nanos) -> Self {
        let largest_request = settings.units.largest_request;
        let burst = plan.burst.max(largest_request / WINDOW_LENGTH_BURSTS);
        let seconds = (WINDOW_LENGTH_BURSTS * burst / plan.rate)
            .clamp(MIN_WINDOW_SECONDS, MAX_WINDOW_SECONDS);
        let length = to_nanos(seconds).max(1);
        Window {
            index: now / length,
            elapsed: now % length,
            length,
            refill: (plan.rate * seconds).max(WINDOW_LENGTH_BURSTS * burst),
            max_credit: (MAX_CREDIT_BURSTS * burst).max(largest_request),
        }
    }

    /// Returns the time until the next window.
    pub(super) fn time_to_next(&self) -> Nanos {
        self.length - self.elapsed
    }

    /// Returns the lifetime from now of the count of window `index`. It ends with the window after `index`,
    /// but is at least one window long.
    pub(super) fn lifetime_of_count(&self, index: u64) -> Nanos {
        let now = self.index * self.length + self.elapsed;
        let end = (index + 2).saturating_mul(self.length);
        end.saturating_sub(now).max(self.length)
    }

    /// Returns the fraction of the window that has passed, in 0..1.
    pub(super) fn progress(&self) -> f64 {
        self.elapsed as f64 / self.length as f64
    }

    /// Returns the sliding window estimate of the use in the last window length. The previous total is
    /// weighted by the fraction of its window that lies within this length.
    pub(super) fn estimate(&self, previous_total: f64, current_total: f64) -> f64 {
        previous_total * (1.0 - self.progress()) + current_total
    }

    /// Returns whether the requests of a customer, which are distributed over `spread` limiters, arrive at
    /// this one often enough for a later call to include the units of a request that makes no call.
    pub(super) fn is_customer_frequent(&self, spread: u32, settings: &Settings) -> bool {
        let min_refill = FREQUENT_CUSTOMER_REQUESTS * settings.units.largest_request;
        !settings.counter.is_available || self.refill / f64::from(spread) >= min_refill
    }
}
