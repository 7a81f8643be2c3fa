//! A host and its idle connections.

use crate::net::config::Limits;
use crate::net::engine::HostCall;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A connection that waits for its next call. Dropping it closes the connection.
struct IdleConnection {
    serial: u64,
    next_call: oneshot::Sender<HostCall>,
    since: Instant,
}

/// The slot of an idle connection in the pool.
pub struct IdleSlot {
    /// Serial number, unique within the pool; later slots have higher ones.
    pub serial: u64,
    /// Receives the next call of the connection; fails once the pool has closed the connection.
    pub next_call: oneshot::Receiver<HostCall>,
}

/// The process of a host. Another process may listen on the address of one that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostProcess {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Start of the process, in nanoseconds since the Unix epoch; 0 if it is unknown.
    pub started: u64,
}

/// A host as it last appeared on the endpoint list.
pub(super) struct Host {
    process: HostProcess,
    /// Whether another host listens on its address by now.
    is_replaced: bool,
    /// When it was first found to be draining or gone; `None` while it is ready.
    unready_since: Option<Instant>,
    /// Whether it is no longer on the endpoint list.
    is_gone: bool,
    /// The idle connections, the most recently used one last.
    idle: Vec<IdleConnection>,
}

impl Host {
    /// Creates a host that is ready and has no connections.
    pub(super) fn new(process: HostProcess) -> Self {
        Host {
            process,
            is_replaced: false,
            unready_since: None,
            is_gone: false,
            idle: Vec::new(),
        }
    }

    /// Returns the process of the host.
    pub(super) fn process(&self) -> HostProcess {
        self.process
    }

    /// Returns whether the host is on the endpoint list and does not drain.
    pub(super) fn is_ready(&self) -> bool {
        self.unready_since.is_none()
    }

    /// Records whether another host listens on its address by now.
    pub(super) fn set_replaced(&mut self, is_replaced: bool) {
        self.is_replaced = is_replaced;
    }

    /// Returns whether no call may be sent to the host any more, not even one that was decided before.
    pub(super) fn is_closed_to_calls(&self, limits: &Limits) -> bool {
        self.is_replaced || self.is_drain_grace_over(limits)
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

    /// Records that the host is no longer on the endpoint list, and closes its idle connections.
    pub(super) fn set_gone(&mut self) {
        self.set_draining();
        self.is_gone = true;
    }

    /// Returns whether the drain grace has passed, so that even calls decided before the host stopped being ready may
    /// no longer be sent to it.
    fn is_drain_grace_over(&self, limits: &Limits) -> bool {
        self.unready_since
            .is_some_and(|since| since.elapsed() >= limits.upstream.drain_grace.get())
    }

    /// Returns whether the host is gone and its drain grace has passed.
    pub(super) fn is_forgettable(&self, limits: &Limits) -> bool {
        self.is_gone && self.is_drain_grace_over(limits)
    }

    /// Returns whether an idle connection to `peer` is kept for another call: the host is ready, and its process is that one.
    pub(super) fn keeps_connections_to(&self, peer: HostProcess) -> bool {
        self.is_ready() && self.process == peer
    }

    /// Registers an idle connection.
    pub(super) fn add_idle(&mut self, serial: u64) -> IdleSlot {
        let (sender, next_call) = oneshot::channel();
        self.idle.push(IdleConnection {
            serial,
            next_call: sender,
            since: Instant::now(),
        });
        IdleSlot { serial, next_call }
    }

    /// Removes an idle connection, which closes it.
    pub(super) fn remove_idle(&mut self, serial: u64) {
        self.idle.retain(|idle| idle.serial != serial);
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Returns the serial number of the connection that has been idle longest; `None` if none is idle.
    pub(super) fn longest_idle(&self) -> Option<u64> {
        self.idle.first().map(|idle| idle.serial)
    }

    /// Hands a call to the most recently used idle connection.
    ///
    /// A connection accepts no call until `reuse_delay` after its last answer. Bytes that still follow that answer, in
    /// particular a duplicate of it, would be taken for the answer to the next call.
    ///
    /// # Errors
    /// No connection has been idle for long enough; returns the call.
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
