//! Bounds on the sizes, counts and times of one process, grouped by the part that uses them.
//!
//! A reload of the configuration updates values in a `Cell`; all others stay as they are until the next start.

mod downstream;
mod memory;
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

/// Resources from which, together with the settings, the limits are derived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Resources {
    /// Number of file descriptors that a process may have open.
    pub(super) sockets: usize,
    /// Memory that a process may use.
    pub(super) memory_bytes: usize,
    /// Time for which hosts keep idle connections.
    pub(super) host_idle_timeout: Duration,
}

/// All limits of a process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Limits for connections of clients.
    pub downstream: DownstreamLimits,
    /// Limits for messages of clients and hosts.
    pub codec: CodecLimits,
    /// Limits on the memory that is reserved for clients, hosts and services.
    pub memory: memory::MemoryLimits,
    /// Limits for requests, from their admission to their answer.
    pub requests: RequestLimits,
    /// Limits for connections to hosts.
    pub upstream: UpstreamLimits,
    /// Limits for values that are forwarded while they arrive.
    pub streaming: StreamingLimits,
    /// Limits for connections to the counter.
    pub counter: CounterLimits,
    /// Limits for discovery of hosts.
    pub discovery: DiscoveryLimits,
    /// Limits for the admin interface.
    pub admin: AdminLimits,
    /// Limits for two processes of one limiter, while a new version takes over.
    pub hot_restart: HotRestartLimits,
    /// Limits for the shutdown of the process.
    pub shutdown: ShutdownLimits,
    /// Timeout for establishing a connection to a host, to the counter or to discovery.
    pub connect_timeout: Cell<Duration>,
    /// Pause before a failed connect or a failed accept is retried.
    pub reconnect_pause: Duration,
}

impl Limits {
    pub(super) fn new(settings: &Settings, resources: Resources) -> Self {
        Limits {
            downstream: DownstreamLimits::new(resources.sockets),
            codec: CodecLimits::new(),
            memory: memory::MemoryLimits::new(resources.memory_bytes),
            requests: RequestLimits::new(settings),
            upstream: UpstreamLimits::new(settings, resources),
            streaming: StreamingLimits::new(),
            counter: CounterLimits::new(settings),
            discovery: DiscoveryLimits::new(settings, resources.memory_bytes),
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

    /// Returns how many connections of clients this process may hold: its share while another process of the limiter
    /// serves too, and otherwise all.
    #[must_use]
    pub fn downstream_connection_share(&self) -> usize {
        self.downstream.max_connections / self.hot_restart.process_count.get()
    }

    /// Returns how many connections to hosts this process may hold: its share while another process of the limiter
    /// serves too, and otherwise all.
    #[must_use]
    pub fn upstream_connection_share(&self) -> usize {
        self.upstream.max_connections / self.hot_restart.process_count.get()
    }

    /// Returns how much memory this process may reserve for clients, hosts and services: its share while another process
    /// of the limiter serves too, and otherwise all.
    #[must_use]
    pub fn reservable_memory_share(&self) -> usize {
        self.memory
            .reservable_bytes(self.hot_restart.process_count.get())
    }

    /// Updates the limits that are derived from the settings. Those derived from the file descriptors and the memory of
    /// the process stay.
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

/// Converts a duration of the settings, in which 0 stands for `default`.
fn duration_or(nanos: Nanos, default: Duration) -> Duration {
    if nanos > 0 {
        Duration::from_nanos(nanos)
    } else {
        default
    }
}
