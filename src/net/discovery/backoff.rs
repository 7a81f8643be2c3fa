//! Delays before calls to discovery: before the first call and after a failure. Uses neither a clock nor a socket.

use crate::net::config::Limits;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff with full jitter: each delay is drawn uniformly between zero and a bound that doubles with every
/// failure.
///
/// Without jitter, limiters that fail at the same moment keep retrying in lockstep, and a service that rejects most of
/// their calls never gets to serve any of them.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_bound: Duration,
    max_bound: Duration,
    bound: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff whose bound grows from `min_bound` to `max_bound`. The same `seed` yields the same delays.
    pub fn new(min_bound: Duration, max_bound: Duration, seed: u64) -> Self {
        Backoff {
            min_bound,
            max_bound: max_bound.max(min_bound),
            bound: min_bound,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Creates the backoff for a limiter's calls to discovery. The bound starts at the reconnect pause; where discovery
    /// is polled, at the poll cycle if that is longer.
    pub fn from_limits(limits: &Limits, seed: u64) -> Self {
        let min_bound = if limits.discovery.is_polled {
            limits.discovery.poll_cycle.max(limits.reconnect_pause)
        } else {
            limits.reconnect_pause
        };
        Backoff::new(min_bound, limits.discovery.max_backoff, seed)
    }

    /// Returns the delay before the first call, which spreads the calls of limiters that start at the same moment.
    pub fn initial_delay(&mut self) -> Duration {
        self.min_bound.mul_f64(self.rng.f64())
    }

    /// Resets the bound to its minimum after the service has answered.
    pub fn reset(&mut self) {
        self.bound = self.min_bound;
    }

    /// Returns the delay after a failure, and doubles the bound for the next one up to the maximum.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.bound.mul_f64(self.rng.f64());
        self.bound = (2 * self.bound).min(self.max_bound);
        delay
    }
}
