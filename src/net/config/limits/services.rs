//! Limits for the services that a limiter calls: the counter and discovery.

use super::duration_or;
use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_millis(30);

/// Limits for connections to the counter.
#[derive(Clone, Debug)]
pub struct CounterLimits {
    /// Connections to the counter.
    pub connections: usize,
    /// How long a call may take.
    pub call_timeout: Cell<Duration>,
    /// Calls that may be pending on one connection.
    pub max_pending_calls: usize,
    /// The longest answer.
    pub max_answer_bytes: usize,
    /// How long a connection with pending calls may be silent. A counter that hangs still counts the connections given
    /// up; its longest outage must not use up the 32 that it holds.
    pub silence_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
}

impl CounterLimits {
    pub(super) fn new(settings: &Settings) -> Self {
        CounterLimits {
            connections: 4,
            call_timeout: Cell::new(duration_or(settings.counter.timeout, DEFAULT_CALL_TIMEOUT)),
            max_pending_calls: 4096,
            max_answer_bytes: 256,
            silence_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(3),
        }
    }
}

/// The time that the poll of one limiter takes up in a poll cycle: all limiters together make 25 calls a second.
const POLL_SLOT: Duration = Duration::from_millis(40);
/// Of 100 calls made at once 60 waited 2 s in vain, of 100 spread over 4 s none. The cycle stays below the 6 s after
/// which a change counts as known to all limiters, polled or not.
const MAX_POLL_CYCLE: Duration = Duration::from_secs(4);
/// Polls that come back without a change take a quarter of the calls that discovery can answer, at most.
const POLL_CYCLES_PER_WATCH: u32 = 4;
const MIN_POLLED_WATCH: Duration = Duration::from_secs(4);
const MAX_WATCH: Duration = Duration::from_secs(20);

/// Limits for discovery of hosts.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Whether discovery is one service of fixed capacity that all limiters poll in turn.
    pub is_polled: bool,
    /// The time over which all limiters together spread their polls.
    pub poll_cycle: Duration,
    /// The longest answer.
    pub max_response_bytes: usize,
    /// How long discovery is asked to wait for a change.
    pub watch_timeout: Duration,
    /// How much later than `watch_timeout` its answer may come. Hosts that a stale watch has missed are found within 2
    /// s of its end.
    pub watch_grace: Duration,
    /// How often the complete list is requested beside the watch, where discovery is not polled.
    pub full_list_interval: Duration,
    /// How long that request may take.
    pub full_list_timeout: Duration,
    /// The longest pause before a failed call is retried. With the call itself (connect and answer) it stays below the
    /// 6 s after which a change counts as known.
    pub max_backoff: Duration,
}

impl DiscoveryLimits {
    pub(super) fn new(settings: &Settings) -> Self {
        let poll_cycle = poll_cycle(settings.limiters.count);
        DiscoveryLimits {
            is_polled: settings.discovery.is_polled,
            poll_cycle,
            max_response_bytes: 4 << 20,
            watch_timeout: if settings.discovery.is_polled {
                (POLL_CYCLES_PER_WATCH * poll_cycle).clamp(MIN_POLLED_WATCH, MAX_WATCH)
            } else {
                MAX_WATCH
            },
            watch_grace: Duration::from_millis(1_500),
            full_list_interval: Duration::from_secs(1),
            full_list_timeout: Duration::from_millis(500),
            max_backoff: Duration::from_secs(4),
        }
    }
}

fn poll_cycle(limiter_count: u32) -> Duration {
    POLL_SLOT.saturating_mul(limiter_count).min(MAX_POLL_CYCLE)
}
