//! Limits for the services that a limiter calls: the counter and discovery.

use super::duration_or;
use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_millis(30);

/// Limits for connections to the counter.
#[derive(Clone, Debug)]
pub struct CounterLimits {
    /// Number of connections to the counter.
    pub connections: usize,
    /// Timeout of a call.
    pub call_timeout: Cell<Duration>,
    /// Maximum number of pending calls on one connection.
    pub max_pending_calls: usize,
    /// Maximum length of an answer.
    pub max_answer_bytes: usize,
    /// Time after which a connection with pending calls and no data from the counter is closed. A counter that hangs
    /// still holds the connections closed here, and it holds at most 32: the connections made during its longest outage
    /// must not exceed that.
    pub silence_timeout: Duration,
    /// Time for which an idle connection is kept.
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

/// Part of a poll cycle that belongs to one limiter: all limiters together make 25 calls per second.
const POLL_SLOT: Duration = Duration::from_millis(40);
/// Maximum length of a poll cycle. Of 100 simultaneous calls 60 get no answer within 2 s; of 100 spread over 4 s all
/// are answered. The cycle stays below the 6 s after which a change counts as known to all limiters, whether or not
/// discovery is polled.
const MAX_POLL_CYCLE: Duration = Duration::from_secs(4);
/// Poll cycles per watch: watches that end without a change take at most a quarter of the calls that discovery can
/// answer.
const POLL_CYCLES_PER_WATCH: u32 = 4;
const MIN_POLLED_WATCH: Duration = Duration::from_secs(4);
const MAX_WATCH: Duration = Duration::from_secs(20);

/// Maximum length of a response, whatever the memory.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Part of the memory that a response may take. Its buffer, its body and its parsed form take several times its length.
const MAX_RESPONSE_DIVISOR: usize = 16;

/// Limits for discovery of hosts.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Whether discovery is one service of fixed capacity that all limiters poll in turn.
    pub is_polled: bool,
    /// Time over which all limiters together spread their polls, where discovery is polled.
    pub poll_cycle: Duration,
    /// Maximum length of a response.
    pub max_response_bytes: usize,
    /// Time for which discovery is asked to wait for a change before it answers.
    pub watch_timeout: Duration,
    /// Time after `watch_timeout` within which the answer must arrive. Hosts that a stale watch missed are found within
    /// 2 s of its end.
    pub watch_grace: Duration,
    /// Time from one request for the complete list to the next one, in addition to the watch, where discovery is not
    /// polled. Hosts that begin to drain get no request from 1 s after discovery can tell it, and the process may be held
    /// up for 0.15 s.
    pub full_list_interval: Duration,
    /// Timeout of the request for the complete list, and the time to the next one after a request that failed.
    pub full_list_timeout: Duration,
    /// Maximum pause before a failed call is retried. Together with the call itself (connect and answer) it stays below
    /// the 6 s after which a change counts as known to all limiters.
    pub max_backoff: Duration,
}

impl DiscoveryLimits {
    pub(super) fn new(settings: &Settings, memory_bytes: usize) -> Self {
        let poll_cycle = poll_cycle(settings.limiters.count);
        DiscoveryLimits {
            is_polled: settings.discovery.is_polled,
            poll_cycle,
            max_response_bytes: MAX_RESPONSE_BYTES.min(memory_bytes / MAX_RESPONSE_DIVISOR),
            watch_timeout: if settings.discovery.is_polled {
                (POLL_CYCLES_PER_WATCH * poll_cycle).clamp(MIN_POLLED_WATCH, MAX_WATCH)
            } else {
                MAX_WATCH
            },
            watch_grace: Duration::from_millis(1_500),
            full_list_interval: Duration::from_millis(700),
            full_list_timeout: Duration::from_millis(500),
            max_backoff: Duration::from_secs(4),
        }
    }
}

fn poll_cycle(limiter_count: u32) -> Duration {
    POLL_SLOT.saturating_mul(limiter_count).min(MAX_POLL_CYCLE)
}
