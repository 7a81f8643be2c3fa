//! One host, and the connections to it that are idle.

use crate::net::config::Limits;
use crate::net::engine::HostCall;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A connection that waits for its next call.
struct IdleConnection {
    serial: u64,
    next_call: oneshot::Sender<HostCall>,
    since: Instant,
}

/// The place of an idle connection in the pool.
pub struct IdlePlace {
    /// Identifies the place among all that the pool ever gave.
    pub serial: u64,
    /// Receives the connection's next call; fails once the pool has closed the connection.
    pub next_call: oneshot::Receiver<HostCall>,
}

/// A host as listed last.
pub(super) struct Host {
    address: SocketAddr,
    /// When its process started, in nanoseconds since the Unix epoch.
    started: u64,
    /// When it was first listed as not ready.
    unready_since: Option<Instant>,
    /// It is not on the endpoint list any more.
    is_gone: bool,
    /// The idle connections, the one that was used last at the end.
    idle: Vec<IdleConnection>,
}

impl Host {
    /// A host that is ready and has no connections.
    pub(super) fn new(address: SocketAddr, started: u64) -> Self {
        Host {
            address,
            started,
            unready_since: None,
            is_gone: false,
            idle: Vec::new(),
        }
    }

    /// The address that the host listens on.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether this is the process that listens on `address` and started at `started`.
    pub(super) fn is_same_process(&self, address: SocketAddr, started: u64) -> bool {
        self.address == address && self.started == started
    }

    /// Records that the host is ready.
    pub(super) fn set_ready(&mut self) {
        self.unready_since = None;
        self.is_gone = false;
    }

    /// Records that the host is draining, and closes its idle connections.
    pub(super) fn set_draining(&mut self) {
        self.unready_since.get_or_insert_with(Instant::now);
        self.idle.clear();
        self.is_gone = false;
    }

    /// Records that the host is not on the endpoint list any more, and closes its idle connections.
    pub(super) fn set_gone(&mut self) {
        self.set_draining();
        self.is_gone = true;
    }

    /// Whether calls that were decided before the host stopped being ready may no longer be sent there.
    pub(super) fn is_drain_grace_over(&self, limits: &Limits) -> bool {
        self.unready_since
            .is_some_and(|since| since.elapsed() >= limits.upstream.drain_grace.get())
    }

    /// Whether the host is gone and past its drain grace.
    pub(super) fn is_forgettable(&self, limits: &Limits) -> bool {
        self.is_gone && self.is_drain_grace_over(limits)
    }

    /// Whether a connection to `peer` may wait here for another call.
    pub(super) fn keeps_connections_to(&self, peer: SocketAddr) -> bool {
        self.unready_since.is_none() && self.address == peer
    }

    /// Adds an idle connection.
    pub(super) fn add_idle(&mut self, serial: u64) -> IdlePlace {
        let (sender, next_call) = oneshot::channel();
        self.idle.push(IdleConnection {
            serial,
            next_call: sender,
            since: Instant::now(),
        });
        IdlePlace { serial, next_call }
    }

    /// Removes an idle connection.
    pub(super) fn remove_idle(&mut self, serial: u64) {
        self.idle.retain(|idle| idle.serial != serial);
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// The serial of the connection that has been idle longest.
    pub(super) fn longest_idle(&self) -> Option<u64> {
        self.idle.first().map(|idle| idle.serial)
    }

    /// Hands a call to the idle connection that was used last.
    ///
    /// For a moment after an answer a connection takes no call: bytes that still follow the answer, a copy of it above
    /// all, would be taken for the answer to that call.
    ///
    /// # Errors
    /// No connection is idle for long enough; the call is given back.
    pub(super) fn send_on_idle(
        &mut self,
        mut call: HostCall,
        limits: &Limits,
    ) -> Result<(), HostCall> {
        let is_usable = |idle: &IdleConnection| idle.since.elapsed() >= limits.upstream.reuse_delay;
        while let Some(last) = self.idle.iter().rposition(is_usable) {
            match self.idle.remove(last).next_call.send(call) {
                Ok(()) => return Ok(()),
                Err(returned) => call = returned,
            }
        }
        Err(call)
    }
}
