//! How long to wait before discovery is called, for the first time and after a failure. Knows neither clock nor socket.

use crate::net::config::Limits;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff with full jitter: each pause is drawn between zero and a bound that doubles with every failure.
///
/// Limiters that all failed at one moment would otherwise call again in step, for good, and a service that rejects most
/// of their calls would serve none of them.
#[derive(Clone, Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    bound: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Pauses whose bound grows from `least` to `most`. The seed makes them repeatable.
    pub fn new(least: Duration, most: Duration, seed: u64) -> Self {
        Backoff {
            least,
            most: most.max(least),
            bound: least,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The backoff of a limiter's calls to discovery.
    pub fn from_limits(limits: &Limits, seed: u64) -> Self {
        let least = if limits.discovery.is_polled {
            limits.discovery.poll_cycle.max(limits.reconnect_pause)
        } else {
            limits.reconnect_pause
        };
        Backoff::new(least, limits.discovery.max_backoff, seed)
    }

    /// The pause before the first call: all limiters may have started at one moment.
    pub fn first(&mut self) -> Duration {
        self.least.mul_f64(self.rng.f64())
    }

    /// The service has answered: the next failure is a first one.
    pub fn answered(&mut self) {
        self.bound = self.least;
    }

    /// The pause after one more failure.
    pub fn after_failure(&mut self) -> Duration {
        let pause = self.bound.mul_f64(self.rng.f64());
        self.bound = (2 * self.bound).min(self.most);
        pause
    }
}
