//! Limits for connections to hosts, and for values that are forwarded while they arrive.

use super::{duration_or, Resources};
use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Limits for connections to hosts.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    /// Maximum number of connections of all processes of this limiter to all hosts together.
    pub max_connections: usize,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Cell<Duration>,
    /// Time after an answer for which a connection is not reused: a second answer to the same attempt may follow the
    /// first by some milliseconds. The delay hardly increases the number of connections needed.
    pub reuse_delay: Duration,
    /// Maximum pause of a host within an answer that is buffered as a whole.
    pub answer_stall_timeout: Duration,
    /// Time after the start of a host's draining during which attempts decided before it are still sent to the host.
    pub drain_grace: Cell<Duration>,
}

impl UpstreamLimits {
    pub(super) fn new(settings: &Settings, resources: Resources) -> Self {
        UpstreamLimits {
            max_connections: resources.sockets * 3 / 10,
            // Half of the hosts' own idle timeout: a request written to a connection that the host has just closed ends
            // with a reset.
            idle_timeout: Cell::new(resources.host_idle_timeout / 2),
            reuse_delay: Duration::from_millis(20),
            answer_stall_timeout: Duration::from_millis(250),
            drain_grace: Cell::new(duration_or(settings.grace.drain, DEFAULT_DRAIN_GRACE) / 2),
        }
    }

    pub(super) fn update_from(&self, new: &UpstreamLimits) {
        self.idle_timeout.set(new.idle_timeout.get());
        self.drain_grace.set(new.drain_grace.get());
    }
}

/// Limits for values that are too long to be buffered as a whole, and are forwarded while they arrive.
#[derive(Clone, Debug)]
pub struct StreamingLimits {
    /// Maximum length of a value.
    pub max_value_bytes: usize,
    /// Maximum number of bytes of a value that are buffered between host and client; as many again may be waiting for
    /// the client to read them.
    pub window_bytes: usize,
    /// The window of a value when memory for a larger one is not free.
    pub min_window_bytes: usize,
    /// Maximum pause of a host within a value.
    pub stall_timeout: Duration,
    /// Maximum time for which a value is buffered while further commands of its client wait behind it. Clients give up
    /// a value whose rest is withheld for 2 s.
    pub max_hold: Duration,
    /// Time before the end of a call at which its value is held no longer.
    pub hold_margin: Duration,
}

impl StreamingLimits {
    pub(super) fn new() -> Self {
        StreamingLimits {
            max_value_bytes: 4 << 20,
            window_bytes: 32 << 10,
            min_window_bytes: 4 << 10,
            stall_timeout: Duration::from_secs(10),
            max_hold: Duration::from_secs(1),
            hold_margin: Duration::from_millis(100),
        }
    }
}
