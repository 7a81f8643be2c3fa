//! Limits for connections to hosts, and for values that are forwarded while they arrive.

use super::{duration_or, Resources};
use crate::api::Settings;
use std::cell::Cell;
use std::time::Duration;

const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Limits for connections to hosts.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    /// Connections of all processes of this limiter to all hosts together.
    pub max_connections: usize,
    /// How long an idle connection is kept.
    pub idle_timeout: Cell<Duration>,
    /// How long after an answer a connection takes no further attempt. A second answer may follow the first by some
    /// milliseconds; hardly more connections are needed for waiting for it.
    pub reuse_delay: Duration,
    /// How long a host may pause within an answer that is read as a whole.
    pub answer_stall_timeout: Duration,
    /// How long after a host began to drain it is sent attempts that were decided before.
    pub drain_grace: Cell<Duration>,
}

impl UpstreamLimits {
    pub(super) fn new(settings: &Settings, resources: Resources) -> Self {
        UpstreamLimits {
            max_connections: resources.sockets * 3 / 10,
            // Half of the time for which hosts keep it: a request that is written to a connection that the host just
            // closed ends with a reset.
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

/// Limits for values that are too long to be read as a whole, and are forwarded while they arrive.
#[derive(Clone, Debug)]
pub struct StreamingLimits {
    /// The longest value.
    pub max_value_bytes: usize,
    /// The bytes of a value that may be buffered between host and client, and as many again that the client has not
    /// read.
    pub window_bytes: usize,
    /// How long a host may pause within a value.
    pub stall_timeout: Duration,
}

impl StreamingLimits {
    pub(super) fn new() -> Self {
        StreamingLimits {
            max_value_bytes: 4 << 20,
            window_bytes: 32 << 10,
            stall_timeout: Duration::from_secs(10),
        }
    }
}
