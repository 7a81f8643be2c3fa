//! Limits for the admin interface, hot restart and shutdown.

use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

/// Limits for the admin interface.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Maximum number of open connections, past which the oldest is closed.
    pub max_connections: usize,
    /// Time that a client may take to send its request, and again to read the response.
    pub request_timeout: Duration,
    /// Maximum length of a request's head, and of its body.
    pub max_request_bytes: usize,
    /// Time for which a request that names an unknown host waits for discovery's first list. The client's own timeout
    /// is 1 s.
    pub first_list_timeout: Duration,
}

impl AdminLimits {
    pub(super) fn new(sockets: usize) -> Self {
        AdminLimits {
            max_connections: (sockets / 32).clamp(4, 32),
            request_timeout: Duration::from_secs(5),
            max_request_bytes: 8 << 10,
            first_list_timeout: Duration::from_millis(600),
        }
    }
}

/// Limits for two processes of one limiter, while a new version takes over.
#[derive(Clone, Debug)]
pub struct HotRestartLimits {
    /// Interval at which the state files of other processes are read, where there is an admin interface.
    pub poll_interval: Duration,
    /// Time for which a second process waits for the state of the first one, which it looks for every `poll_interval`.
    pub handoff_timeout: Duration,
    /// Time for which a second process waits for discovery before it accepts clients.
    pub discovery_timeout: Duration,
    /// Time for which connections that are already being established are still accepted after further ones are
    /// redirected to another process.
    pub listener_handover_grace: Duration,
    /// Number of processes that share the connections of this limiter: 1 or 2.
    pub process_count: Cell<usize>,
}

impl HotRestartLimits {
    pub(super) fn new() -> Self {
        HotRestartLimits {
            poll_interval: Duration::from_millis(50),
            handoff_timeout: Duration::from_millis(250),
            discovery_timeout: Duration::from_secs(1),
            listener_handover_grace: Duration::from_millis(100),
            process_count: Cell::new(1),
        }
    }
}

/// Minimum time between SIGTERM and the end of the process, not counting [`DRAIN_DELAY`]; a longer class deadline
/// extends it.
const MIN_SHUTDOWN_NANOS: u64 = 3_000_000_000;
/// Time for which clients are served as before after SIGTERM, until the load balancer in front sends no more of them.
const DRAIN_DELAY: Duration = Duration::from_millis(600);

/// Limits for the shutdown of the process. All times but the margin are measured from SIGTERM.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// Time for which clients are served as before.
    pub drain_delay: Duration,
    /// Time after which all new requests are rejected.
    pub reject_after: Duration,
    /// Time after which the process ends, even if requests are still open.
    pub timeout: Cell<Duration>,
    /// Time before `timeout` at which requests that are still open are answered.
    pub final_answer_margin: Cell<Duration>,
}

impl ShutdownLimits {
    pub(super) fn new(settings: &Settings) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0).max(MIN_SHUTDOWN_NANOS);
        ShutdownLimits {
            drain_delay: DRAIN_DELAY,
            reject_after: Duration::from_secs(2),
            timeout: Cell::new(Duration::from_nanos(longest_deadline) + DRAIN_DELAY),
            final_answer_margin: Cell::new(Duration::from_millis(100)),
        }
    }

    /// Extends the timeout if the new one is longer. It is never shortened: requests that were admitted under the old
    /// settings keep their deadlines.
    pub(super) fn update_from(&self, new: &ShutdownLimits) {
        self.timeout.set(self.timeout.get().max(new.timeout.get()));
    }
}
