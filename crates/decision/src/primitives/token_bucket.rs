//! Token bucket with an explicit refill.

use crate::api::Nanos;
use crate::time::to_seconds;

#[cfg(test)]
mod tests;

/// Tokens that refill over time up to a capacity. The caller computes the number of tokens gained, because the
/// order of its factors determines the rounding.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    pub(crate) fn new(tokens: f64, refilled_at: Nanos) -> Self {
        TokenBucket {
            tokens,
            refilled_at,
        }
    }

    pub(crate) fn tokens(self) -> f64 {
        self.tokens
    }

    /// Returns the time of the last refill.
    pub(crate) fn refilled_at(self) -> Nanos {
        self.refilled_at
    }

    /// Returns the time since the last refill in seconds.
    pub(crate) fn seconds_since_refill(self, now: Nanos) -> f64 {
        to_seconds(now - self.refilled_at)
    }

    /// Adds the tokens gained since the last refill, up to `capacity`.
    pub(crate) fn refill(&mut self, now: Nanos, gained: f64, capacity: f64) {
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled_at = now;
    }

    /// Takes tokens. The number of tokens may become negative.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
