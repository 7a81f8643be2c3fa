//! All hosts, and the connections to them that are idle.

use crate::api::{HostEntry, HostId, HostState, ReportSource};
use crate::net::config::Limits;
use crate::net::engine::HostCall;
use crate::net::metrics::SharedMetrics;
use crate::net::resp::eviction::Eviction;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
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

struct Host {
    address: SocketAddr,
    /// When its process started, in nanoseconds since the Unix epoch.
    started: u64,
    /// When it was first listed as not ready.
    unready_since: Option<Instant>,
    /// It is not on the endpoint list any more.
    is_gone: bool,
    /// The connection used last is the last.
    idle: Vec<IdleConnection>,
}

impl Host {
    fn new(address: SocketAddr, started: u64) -> Self {
        Host {
            address,
            started,
            unready_since: None,
            is_gone: false,
            idle: Vec::new(),
        }
    }

    fn set_ready(&mut self, is_ready: bool) {
        if is_ready {
            self.unready_since = None;
        } else {
            self.unready_since.get_or_insert_with(Instant::now);
            self.idle.clear();
        }
    }

    /// Whether calls that were decided before the host stopped being ready may no longer be sent there.
    fn is_drain_grace_over(&self, limits: &Limits) -> bool {
        self.unready_since
            .is_some_and(|since| since.elapsed() >= limits.upstream.drain_grace.get())
    }
}

/// Counts a connection that is up or being opened, until it is dropped.
pub struct ConnectionPermit {
    counts: [Rc<Cell<usize>>; 2],
}

impl ConnectionPermit {
    fn new(counts: [Rc<Cell<usize>>; 2]) -> Self {
        for count in &counts {
            count.set(count.get() + 1);
        }
        ConnectionPermit { counts }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        for count in &self.counts {
            count.set(count.get() - 1);
        }
    }
}

/// All hosts, and the connections to them.
pub struct UpstreamPool {
    hosts: RefCell<HashMap<HostId, Host>>,
    connections: Rc<Cell<usize>>,
    connections_by_host: RefCell<BTreeMap<HostId, Rc<Cell<usize>>>>,
    next_serial: Cell<u64>,
    report_source: Cell<ReportSource>,
    metrics: Option<SharedMetrics>,
}

impl UpstreamPool {
    /// A pool without hosts. `report_source` is where hosts report their load; `metrics` count the connections.
    pub fn new(report_source: ReportSource, metrics: Option<SharedMetrics>) -> Self {
        UpstreamPool {
            hosts: RefCell::default(),
            connections: Rc::default(),
            connections_by_host: RefCell::default(),
            next_serial: Cell::default(),
            report_source: Cell::new(report_source),
            metrics,
        }
    }

    /// Where hosts report their load.
    pub fn report_source(&self) -> ReportSource {
        self.report_source.get()
    }

    /// Sets where hosts report their load.
    pub fn set_report_source(&self, report_source: ReportSource) {
        self.report_source.set(report_source);
    }

    /// Takes the state and address of a listed host, as received at this moment.
    pub fn update_host(&self, entry: &HostEntry, address: SocketAddr) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts
            .entry(entry.host)
            .or_insert_with(|| Host::new(address, entry.started));
        if host.address != address || host.started != entry.started {
            *host = Host::new(address, entry.started);
        }
        host.set_ready(entry.state == HostState::Ready);
        host.is_gone = entry.state == HostState::Gone;
    }

    /// Whether the pool knows a host.
    pub fn contains_host(&self, id: HostId) -> bool {
        self.hosts.borrow().contains_key(&id)
    }

    /// Forgets the hosts that are gone and past their drain grace. Without this the pool would grow with each host that
    /// is replaced by one of another name.
    pub fn forget_gone_hosts(&self, limits: &Limits) {
        self.hosts
            .borrow_mut()
            .retain(|_, host| !(host.is_gone && host.is_drain_grace_over(limits)));
        let hosts = self.hosts.borrow();
        self.connections_by_host
            .borrow_mut()
            .retain(|id, count| count.get() > 0 || hosts.contains_key(id));
    }

    /// Marks the hosts as gone that a complete list does not contain.
    pub fn retain_listed(&self, listed: &[HostEntry]) {
        for (id, host) in self.hosts.borrow_mut().iter_mut() {
            if !listed.iter().any(|entry| entry.host == *id) {
                host.set_ready(false);
                host.is_gone = true;
            }
        }
    }

    /// Where a host listens; `None` once nothing may be sent there any more. A call may have been decided before the
    /// host began to drain, and its connection be established long after.
    pub fn address(&self, id: HostId, limits: &Limits) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let host = hosts.get(&id)?;
        (!host.is_drain_grace_over(limits)).then_some(host.address)
    }

    /// Hands a call to the host's idle connection that was used last.
    ///
    /// For a moment after an answer a connection takes no call: bytes that still follow the answer, a copy of it above
    /// all, would be taken for the answer to that call.
    ///
    /// # Errors
    /// No idle connection leads to the host; the call is given back.
    pub fn send_on_idle(&self, mut call: HostCall, limits: &Limits) -> Result<(), HostCall> {
        let mut hosts = self.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(&call.host) else {
            return Err(call);
        };
        let is_usable = |idle: &IdleConnection| idle.since.elapsed() >= limits.upstream.reuse_delay;
        while let Some(last) = host.idle.iter().rposition(is_usable) {
            match host.idle.remove(last).next_call.send(call) {
                Ok(()) => return Ok(()),
                Err(returned) => call = returned,
            }
        }
        Err(call)
    }

    /// Adds a connection to the idle ones, if its host is still ready at the same address.
    pub fn add_idle(&self, id: HostId, peer: SocketAddr) -> Option<IdlePlace> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&id)?;
        if host.unready_since.is_some() || host.address != peer {
            return None;
        }
        let (sender, next_call) = oneshot::channel();
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        host.idle.push(IdleConnection {
            serial,
            next_call: sender,
            since: Instant::now(),
        });
        Some(IdlePlace { serial, next_call })
    }

    /// Removes a connection from the idle ones.
    pub fn remove_idle(&self, id: HostId, serial: u64) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.idle.retain(|idle| idle.serial != serial);
        }
    }

    /// Closes the idle connections to a host.
    pub fn close_idle(&self, id: HostId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.idle.clear();
        }
    }

    /// Permits one more connection. At the limit the connection that has been idle longest is closed for it; `None`
    /// where none is idle.
    pub fn acquire_permit(&self, id: HostId, limits: &Limits) -> Option<ConnectionPermit> {
        if self.connections.get() >= limits.upstream_connection_share() {
            match self.close_longest_idle() {
                Eviction::Evicted => {}
                Eviction::NoneIdle => return None,
            }
        }
        let by_host = self
            .connections_by_host
            .borrow_mut()
            .entry(id)
            .or_default()
            .clone();
        Some(ConnectionPermit::new([self.connections.clone(), by_host]))
    }

    /// Counts a connection that was established.
    pub fn record_connect(&self, id: HostId) {
        if let Some(metrics) = &self.metrics {
            metrics.borrow_mut().record_connect(id);
        }
    }

    /// Counts a connection that could not be established.
    pub fn record_connect_failure(&self, id: HostId) {
        if let Some(metrics) = &self.metrics {
            metrics.borrow_mut().record_connect_failure(id);
        }
    }

    fn close_longest_idle(&self) -> Eviction {
        let mut hosts = self.hosts.borrow_mut();
        let hosts_with_idle = hosts.values_mut().filter(|host| !host.idle.is_empty());
        match hosts_with_idle.min_by_key(|host| host.idle[0].serial) {
            Some(host) => {
                // The connection's task ends as the sender of its next call is dropped.
                host.idle.remove(0);
                Eviction::Evicted
            }
            None => Eviction::NoneIdle,
        }
    }

    /// How many connections are up or being opened, by host.
    pub fn connections_by_host(&self) -> BTreeMap<HostId, usize> {
        self.connections_by_host
            .borrow()
            .iter()
            .filter(|(_, count)| count.get() > 0)
            .map(|(id, count)| (*id, count.get()))
            .collect()
    }
}
