//! The sizes, counts and times that one process keeps to, grouped by the part that uses them.
//!
//! Values in a `Cell` follow a new configuration while the process runs; all others hold until its next start.

mod downstream;
mod process;
mod requests;
mod services;
mod upstream;

pub use downstream::{CodecLimits, DownstreamLimits};
pub use process::{AdminLimits, HotRestartLimits, ShutdownLimits};
pub use requests::RequestLimits;
pub use services::{CounterLimits, DiscoveryLimits};
pub use upstream::{StreamingLimits, UpstreamLimits};

use crate::api::{Nanos, Settings};
use std::cell::Cell;
use std::time::Duration;

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// The resources that the limits are derived from, beside the settings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Resources {
    /// File descriptors of a process.
    pub(super) sockets: usize,
    /// Memory of a process.
    pub(super) memory_bytes: usize,
    /// How long hosts keep idle connections.
    pub(super) host_idle_timeout: Duration,
}

/// Every size, count and time that a process keeps to.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of clients.
    pub downstream: DownstreamLimits,
    /// Parsing of messages.
    pub codec: CodecLimits,
    /// Requests, from their admission to their answer.
    pub requests: RequestLimits,
    /// Connections to hosts.
    pub upstream: UpstreamLimits,
    /// Values that are forwarded while they arrive.
    pub streaming: StreamingLimits,
    /// Connections to the counter.
    pub counter: CounterLimits,
    /// Discovery of hosts.
    pub discovery: DiscoveryLimits,
    /// The admin interface.
    pub admin: AdminLimits,
    /// Two processes of one limiter, while a new version takes over.
    pub hot_restart: HotRestartLimits,
    /// The end of the process.
    pub shutdown: ShutdownLimits,
    /// How long a connection to a host, to the counter or to discovery may take to be established.
    pub connect_timeout: Cell<Duration>,
    /// The pause before a failed connection or a failed accept is retried.
    pub reconnect_pause: Duration,
}

impl Limits {
    pub(super) fn new(settings: &Settings, resources: Resources) -> Self {
        Limits {
            downstream: DownstreamLimits::new(resources.sockets),
            codec: CodecLimits::new(),
            requests: RequestLimits::new(settings, resources.memory_bytes),
            upstream: UpstreamLimits::new(settings, resources),
            streaming: StreamingLimits::new(),
            counter: CounterLimits::new(settings),
            discovery: DiscoveryLimits::new(settings),
            admin: AdminLimits::new(resources.sockets),
            hot_restart: HotRestartLimits::new(),
            shutdown: ShutdownLimits::new(settings),
            connect_timeout: Cell::new(duration_or(
                settings.attempts.connect_timeout,
                DEFAULT_CONNECT_TIMEOUT,
            )),
            reconnect_pause: RECONNECT_PAUSE,
        }
    }

    /// Connections of clients that this process may hold, alone or beside another one.
    #[must_use]
    pub fn downstream_connection_share(&self) -> usize {
        self.downstream.max_connections / self.hot_restart.process_count.get()
    }

    /// Connections to hosts that this process may hold, alone or beside another one.
    #[must_use]
    pub fn upstream_connection_share(&self) -> usize {
        self.upstream.max_connections / self.hot_restart.process_count.get()
    }

    /// Takes over the limits that follow from the settings. Those that follow from the size of the process stay.
    pub fn update_from(&self, new: &Limits) {
        self.requests.update_from(&new.requests);
        self.upstream.update_from(&new.upstream);
        self.counter
            .call_timeout
            .set(new.counter.call_timeout.get());
        self.shutdown.update_from(&new.shutdown);
        self.connect_timeout.set(new.connect_timeout.get());
    }
}

/// A duration of the settings, in which 0 stands for the default.
fn duration_or(nanos: Nanos, default: Duration) -> Duration {
    if nanos > 0 {
        Duration::from_nanos(nanos)
    } else {
        default
    }
}
