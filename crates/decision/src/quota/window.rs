//! Windows of a quota: their length, refill and credit, and the sliding window estimate.

use crate::api::{Nanos, Plan, Settings};
use crate::time::to_nanos;

#[cfg(test)]
mod tests;

/// Window length in bursts. A longer one grants too much at once, a shorter one is read too rarely.
const WINDOW_LENGTH_BURSTS: f64 = 1.25;
/// Shortest window, and longest: a count lives for 60 s at most and must outlast two windows.
const MIN_WINDOW_SECONDS: f64 = 0.1;
const MAX_WINDOW_SECONDS: f64 = 25.0;
/// Maximum credit at the start of a window in bursts. A full burst would also grant the units that pass at
/// other limiters before their adds are known. On two sites 0.5 and 0.6 perform alike, 0.7 is worse on one, 1
/// on both.
const MAX_CREDIT_BURSTS: f64 = 0.55;
/// A customer is frequent at a limiter if its even part of a window is this multiple of a largest request.
const FREQUENT_CUSTOMER_REQUESTS: f64 = 0.5;

/// The window of a plan that contains the present moment. Window boundaries are multiples of the length since
/// the epoch, the same at all limiters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Window {
    /// Number of the window since the epoch.
    pub(super) index: u64,
    /// Time since its start.
    elapsed: Nanos,
    pub(super) length: Nanos,
    /// Units that refill during one window.
    pub(super) refill: f64,
    /// Maximum credit at the start of a window, in units.
    pub(super) max_credit: f64,
}

impl Window {
    /// The window of a plan at the time `now`.
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

    /// How long until the next window.
    pub(super) fn time_to_next(&self) -> Nanos {
        self.length - self.elapsed
    }

    /// How long a count of the window `index` lives at the counter: to the end of the window after it.
    pub(super) fn lifetime_of_count(&self, index: u64) -> Nanos {
        let now = self.index * self.length + self.elapsed;
        let end = (index + 2).saturating_mul(self.length);
        end.saturating_sub(now).max(self.length)
    }

    /// Part of the window that has passed, in 0..1.
    pub(super) fn progress(&self) -> f64 {
        self.elapsed as f64 / self.length as f64
    }

    /// Sliding window estimate of the use in the length of one window up to now: the previous total counts by
    /// the part of its window that still lies within that length.
    pub(super) fn estimate(&self, previous_total: f64, current_total: f64) -> f64 {
        previous_total * (1.0 - self.progress()) + current_total
    }

    /// Whether requests of a customer that arrive through `spread` limiters come through this one often enough
    /// for a later call to include the units of an earlier one.
    pub(super) fn is_customer_frequent(&self, spread: u32, settings: &Settings) -> bool {
        let least = FREQUENT_CUSTOMER_REQUESTS * settings.units.largest_request;
        !settings.counter.is_available || self.refill / f64::from(spread) >= least
    }
}
