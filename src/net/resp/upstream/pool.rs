//! All hosts, and the connections to them.

use super::host::{Host, IdlePlace};
use super::permits::{ConnectionCounts, ConnectionPermit};
use crate::api::{HostEntry, HostId, HostState, ReportSource};
use crate::net::config::Limits;
use crate::net::engine::HostCall;
use crate::net::metrics::SharedMetrics;
use crate::net::resp::eviction::Eviction;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// All hosts, and the connections to them.
pub struct UpstreamPool {
    hosts: RefCell<HashMap<HostId, Host>>,
    connections: ConnectionCounts,
    next_serial: Cell<u64>,
    report_source: Cell<ReportSource>,
    metrics: Option<SharedMetrics>,
}

impl UpstreamPool {
    /// A pool without hosts. `report_source` is where hosts report their load; `metrics` count the connections.
    pub fn new(report_source: ReportSource, metrics: Option<SharedMetrics>) -> Self {
        UpstreamPool {
            hosts: RefCell::default(),
            connections: ConnectionCounts::default(),
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

    /// Records the state and address of a listed host, as received at this moment.
    pub fn update_host(&self, entry: &HostEntry, address: SocketAddr) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts
            .entry(entry.host)
            .or_insert_with(|| Host::new(address, entry.started));
        if !host.is_same_process(address, entry.started) {
            *host = Host::new(address, entry.started);
        }
        match entry.state {
            HostState::Ready => host.set_ready(),
            HostState::Draining => host.set_draining(),
            HostState::Gone => host.set_gone(),
        }
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
            .retain(|_, host| !host.is_forgettable(limits));
        let hosts = self.hosts.borrow();
        self.connections.forget_unused(|id| hosts.contains_key(&id));
    }

    /// Marks the hosts as gone that a complete list does not contain.
    pub fn retain_listed(&self, listed: &[HostEntry]) {
        for (id, host) in self.hosts.borrow_mut().iter_mut() {
            if !listed.iter().any(|entry| entry.host == *id) {
                host.set_gone();
            }
        }
    }

    /// Where a host listens; `None` once nothing may be sent there any more. A call may have been decided before the
    /// host began to drain, and its connection be established long after.
    pub fn address(&self, id: HostId, limits: &Limits) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let host = hosts.get(&id)?;
        (!host.is_drain_grace_over(limits)).then_some(host.address())
    }

    /// Hands a call to the host's idle connection that was used last.
    ///
    /// # Errors
    /// No idle connection leads to the host; the call is given back.
    pub fn send_on_idle(&self, call: HostCall, limits: &Limits) -> Result<(), HostCall> {
        match self.hosts.borrow_mut().get_mut(&call.host) {
            Some(host) => host.send_on_idle(call, limits),
            None => Err(call),
        }
    }

    /// Adds a connection to the idle ones, if its host is still ready at the same address.
    pub fn add_idle(&self, id: HostId, peer: SocketAddr) -> Option<IdlePlace> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&id)?;
        if !host.keeps_connections_to(peer) {
            return None;
        }
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        Some(host.add_idle(serial))
    }

    /// Removes a connection from the idle ones.
    pub fn remove_idle(&self, id: HostId, serial: u64) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.remove_idle(serial);
        }
    }

    /// Closes the idle connections to a host.
    pub fn close_idle(&self, id: HostId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.close_idle();
        }
    }

    /// Permits one more connection. At the limit the connection that has been idle longest is closed for it; `None`
    /// where none is idle.
    pub fn acquire_permit(&self, id: HostId, limits: &Limits) -> Option<ConnectionPermit> {
        if self.connections.total() >= limits.upstream_connection_share() {
            match self.close_longest_idle() {
                Eviction::Evicted => {}
                Eviction::NoneIdle => return None,
            }
        }
        Some(self.connections.acquire(id))
    }

    /// Closes the connection that has been idle longest. Its task ends as the sender of its next call is dropped.
    fn close_longest_idle(&self) -> Eviction {
        let mut hosts = self.hosts.borrow_mut();
        let idle = hosts
            .values_mut()
            .filter_map(|host| Some((host.longest_idle()?, host)));
        match idle.min_by_key(|(serial, _)| *serial) {
            Some((serial, host)) => {
                host.remove_idle(serial);
                Eviction::Evicted
            }
            None => Eviction::NoneIdle,
        }
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

    /// How many connections are open or being opened, by host.
    pub fn connections_by_host(&self) -> BTreeMap<HostId, usize> {
        self.connections.by_host()
    }
}
