//! Retry budget: bounds the retries of attempts that may have run to a part of the requests.

#[cfg(test)]
mod tests;

/// Tokens that a first attempt earns: one retry for ten requests in the long run.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum number of tokens of all limiters together.
const MAX_TOKENS: f64 = 20.0;
/// A retry of an attempt that may have run costs this many tokens.
const TOKENS_PER_RETRY: f64 = 1.0;

/// Tokens for retries. A retry of an attempt that surely did not run costs none, as it repeats no work.
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

    /// Records the first attempt of a request, which earns a part of a retry.
    pub(super) fn earn(&mut self) {
        self.tokens += TOKENS_PER_REQUEST;
    }

    /// Limits the tokens to this limiter's part of the maximum, which is one retry at least.
    pub(super) fn limit(&mut self, limiter_count: u32) {
        let max_tokens = (MAX_TOKENS / f64::from(limiter_count)).max(TOKENS_PER_RETRY);
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Whether the budget allows a retry.
    pub(super) fn has_retry(&self) -> bool {
        self.tokens >= TOKENS_PER_RETRY
    }

    /// Pays for a retry.
    pub(super) fn spend(&mut self) {
        self.tokens -= TOKENS_PER_RETRY;
    }
}
