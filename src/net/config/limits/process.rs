//! Limits for the admin interface, hot restart and the end of the process.

use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

/// Limits for the admin interface.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Connections at once, past which the oldest is closed.
    pub max_connections: usize,
    /// How long a client may take to send its request, and to read the answer.
    pub request_timeout: Duration,
    /// The longest request.
    pub max_request_bytes: usize,
    /// How long a request about an unknown host waits for discovery's first list. Its client waits 1 s.
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

/// Limits for two processes of one limiter.
#[derive(Clone, Debug)]
pub struct HotRestartLimits {
    /// How often the state file of another process is looked for, where there is an admin interface.
    pub poll_interval: Duration,
    /// How long a second process waits for the state of the first one, which it looks for every `poll_interval`.
    pub handoff_timeout: Duration,
    /// How long a second process waits for discovery before it accepts clients.
    pub discovery_timeout: Duration,
    /// How long the last connections may take to be established once others are directed to another process.
    pub listener_handover_grace: Duration,
    /// How many processes share the connections that this limiter may hold.
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

/// A process runs on for this long where no class has a longer deadline.
const MIN_SHUTDOWN_NANOS: u64 = 3_000_000_000;
/// How long clients are served as before after SIGTERM, until the load balancer in front sends no more of them.
const DRAIN_DELAY: Duration = Duration::from_millis(600);

/// Limits for the end of the process. All times run from SIGTERM.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// How long clients are served as before.
    pub drain_delay: Duration,
    /// When rejection of all new requests begins.
    pub reject_after: Duration,
    /// When the process ends, even where requests are still open.
    pub timeout: Cell<Duration>,
    /// How long before `timeout` the last answers are given.
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

    /// Requests that were admitted under the old settings keep their time.
    pub(super) fn update_from(&self, new: &ShutdownLimits) {
        self.timeout.set(self.timeout.get().max(new.timeout.get()));
    }
}
