//! Limits for the admin interface, hot restart and shutdown.

use super::duration_or;
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

/// Time for which clients are served as before after SIGTERM, until the load balancer in front sends no more of them.
const DRAIN_DELAY: Duration = Duration::from_millis(600);
/// Time after SIGTERM from which new requests are rejected.
const REJECT_AFTER: Duration = Duration::from_secs(2);
/// Part of the longest class deadline that the platform waits for between SIGTERM and SIGKILL, at most.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time that the platform adds to the counted deadline before it sends SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time between the last answers and the earliest SIGKILL. The process may receive SIGTERM late, and it needs time to
/// write the answers.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Limits for the shutdown of the process, measured from SIGTERM.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// Time for which clients are served as before.
    pub drain_delay: Duration,
    /// Time after which all new requests are rejected.
    pub reject_after: Duration,
    /// Time after which no request is left open, so that all answers are written before the earliest SIGKILL.
    pub answer_timeout: Cell<Duration>,
    /// Time after which the process exits once no response is in progress. SIGKILL may come earlier.
    pub exit_timeout: Cell<Duration>,
}

impl ShutdownLimits {
    pub(super) fn new(settings: &Settings) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = Duration::from_nanos(deadlines.max().unwrap_or(0));
        let exit_timeout = longest_deadline.max(MAX_COUNTED_DEADLINE) + DRAIN_DELAY;
        ShutdownLimits {
            drain_delay: DRAIN_DELAY,
            reject_after: REJECT_AFTER,
            answer_timeout: Cell::new(answer_timeout(settings)),
            exit_timeout: Cell::new(exit_timeout),
        }
    }

    /// Adopts the answer timeout of new settings, and extends the exit timeout if the new one is longer: a response that
    /// began under the old settings may still be in progress.
    pub(super) fn update_from(&self, new: &ShutdownLimits) {
        self.answer_timeout.set(new.answer_timeout.get());
        self.exit_timeout
            .set(self.exit_timeout.get().max(new.exit_timeout.get()));
    }
}

/// Returns the time after SIGTERM by which each request must be answered. A class without a deadline counts as one with
/// a long deadline.
fn answer_timeout(settings: &Settings) -> Duration {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let counted_deadlines = deadlines
        .map(|deadline| duration_or(deadline, MAX_COUNTED_DEADLINE).min(MAX_COUNTED_DEADLINE));
    let longest = counted_deadlines.max().unwrap_or(MAX_COUNTED_DEADLINE);
    let earliest_kill = longest + KILL_GRACE;
    // With very short deadlines, clients are still served until connections close.
    earliest_kill
        .saturating_sub(FINAL_ANSWER_MARGIN)
        .max(DRAIN_DELAY)
}
