//! Retry budget: limits the retries of attempts that may have run to a fraction of the requests.

#[cfg(test)]
mod tests;

/// Tokens earned by a first attempt: one retry per ten requests in the long run.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum number of tokens over all limiters together.
const MAX_TOKENS: f64 = 20.0;
/// Tokens spent by a retry of an attempt that may have run.
const TOKENS_PER_RETRY: f64 = 1.0;

/// Token budget for retries. A retry of an attempt that provably did not run costs none, as it repeats no work.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget {
            tokens: TOKENS_PER_RETRY,
        }
    }

    /// Adds the tokens earned by the first attempt of a request.
    pub(super) fn earn(&mut self) {
        self.tokens += TOKENS_PER_REQUEST;
    }

    /// Caps the tokens at this limiter's share of the maximum, which is at least one retry.
    pub(super) fn limit(&mut self, limiter_count: u32) {
        let max_tokens = (MAX_TOKENS / f64::from(limiter_count)).max(TOKENS_PER_RETRY);
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Returns whether the budget allows a retry.
    pub(super) fn has_retry(&self) -> bool {
        self.tokens >= TOKENS_PER_RETRY
    }

    /// Spends the tokens of one retry.
    pub(super) fn spend(&mut self) {
        self.tokens -= TOKENS_PER_RETRY;
    }
}
