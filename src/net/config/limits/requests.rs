//! Limits for requests, from their admission to their answer.

use super::duration_or;
use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

const DEFAULT_MAX_OPEN: usize = 20_000;
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits for requests.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// Maximum number of open requests, past which new ones are rejected.
    pub max_open: usize,
    /// Maximum number of attempts of one request, at least 1.
    pub max_attempts: u32,
    /// Whether rejections carry a `retry_after`.
    pub sends_retry_after: Cell<bool>,
    /// `retry_after` of a rejection for lack of capacity in this process; zero if rejections carry none.
    pub capacity_retry_after: Cell<Duration>,
    /// Time before its deadline at which an unanswered request is failed.
    pub deadline_margin: Duration,
}

impl RequestLimits {
    pub(super) fn new(settings: &Settings) -> Self {
        RequestLimits {
            max_open: match settings.attempts.max_requests_in_progress {
                0 => DEFAULT_MAX_OPEN,
                max_open => max_open as usize,
            },
            max_attempts: settings.attempts.max_per_request.max(1),
            sends_retry_after: Cell::new(settings.backoff.sends_retry_after),
            capacity_retry_after: Cell::new(if settings.backoff.sends_retry_after {
                duration_or(settings.backoff.longest_retry_after, DEFAULT_RETRY_AFTER)
            } else {
                Duration::ZERO
            }),
            deadline_margin: Duration::from_millis(2),
        }
    }

    pub(super) fn update_from(&self, new: &RequestLimits) {
        self.sends_retry_after.set(new.sends_retry_after.get());
        self.capacity_retry_after
            .set(new.capacity_retry_after.get());
    }
}
