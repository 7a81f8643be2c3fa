//! The pool of hosts and of the connections to them.

use super::host::{Host, HostProcess, IdleSlot};
use super::permits::{ConnectionCounts, ConnectionPermit};
use crate::api::{HostEntry, HostId, HostState, ReportSource};
use crate::net::config::Limits;
use crate::net::engine::HostCall;
use crate::net::metrics::SharedMetrics;
use crate::net::resp::eviction::Eviction;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// The known hosts and the connections to them.
pub struct UpstreamPool {
    hosts: RefCell<HashMap<HostId, Host>>,
    connections: ConnectionCounts,
    next_serial: Cell<u64>,
    report_source: Cell<ReportSource>,
    metrics: Option<SharedMetrics>,
}

impl UpstreamPool {
    /// Creates a pool without hosts. `report_source` tells where hosts report their load; `metrics` counts the
    /// connections and may be `None`.
    pub fn new(report_source: ReportSource, metrics: Option<SharedMetrics>) -> Self {
        UpstreamPool {
            hosts: RefCell::default(),
            connections: ConnectionCounts::default(),
            next_serial: Cell::default(),
            report_source: Cell::new(report_source),
            metrics,
        }
    }

    /// Returns where hosts report their load.
    pub fn report_source(&self) -> ReportSource {
        self.report_source.get()
    }

    /// Sets where hosts report their load.
    pub fn set_report_source(&self, report_source: ReportSource) {
        self.report_source.set(report_source);
    }

    /// Records the state and address of a host from the endpoint list. A host with a new address or start time replaces
    /// the known one.
    pub fn update_host(&self, entry: &HostEntry, address: SocketAddr) {
        let process = HostProcess {
            address,
            started: entry.started,
        };
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts
            .entry(entry.host)
            .or_insert_with(|| Host::new(process));
        if host.process() != process {
            *host = Host::new(process);
        }
        match entry.state {
            HostState::Ready => host.set_ready(),
            HostState::Draining => host.set_draining(),
            HostState::Gone => host.set_gone(),
        }
    }

    /// Returns whether the pool contains a host.
    pub fn contains_host(&self, id: HostId) -> bool {
        self.hosts.borrow().contains_key(&id)
    }

    /// Removes the hosts that are gone and whose drain grace has passed. Without this the pool would grow with each
    /// host that is replaced by one with another name.
    pub fn forget_gone_hosts(&self, limits: &Limits) {
        self.hosts
            .borrow_mut()
            .retain(|_, host| !host.is_forgettable(limits));
        let hosts = self.hosts.borrow();
        self.connections.forget_unused(|id| hosts.contains_key(&id));
    }

    /// Marks the hosts as gone that are not on `listed`, which is a complete endpoint list.
    pub fn retain_listed(&self, listed: &[HostEntry]) {
        for (id, host) in self.hosts.borrow_mut().iter_mut() {
            if !listed.iter().any(|entry| entry.host == *id) {
                host.set_gone();
            }
        }
    }

    /// Closes hosts to calls that drain or are gone, and on whose address a ready host listens by now: a call that was
    /// decided for the former would run at the latter.
    pub fn close_replaced_hosts(&self) {
        let mut hosts = self.hosts.borrow_mut();
        if hosts.values().all(Host::is_ready) {
            return;
        }
        let ready = hosts.values().filter(|host| host.is_ready());
        let ready: HashSet<SocketAddr> = ready.map(|host| host.process().address).collect();
        for host in hosts.values_mut() {
            let is_taken = ready.contains(&host.process().address);
            host.set_replaced(is_taken && !host.is_ready());
        }
    }

    /// Returns the process of a host; `None` if the host is unknown, its drain grace has passed, or another host listens on
    /// its address. The connection for a call that was decided before the host began to drain may be established long after
    /// that.
    pub fn process(&self, id: HostId, limits: &Limits) -> Option<HostProcess> {
        let hosts = self.hosts.borrow();
        let host = hosts.get(&id)?;
        (!host.is_closed_to_calls(limits)).then_some(host.process())
    }

    /// Hands a call to the most recently used idle connection of its host.
    ///
    /// # Errors
    /// The host is unknown or none of its connections has been idle for long enough; returns the call.
    pub fn send_on_idle(&self, call: HostCall, limits: &Limits) -> Result<(), HostCall> {
        match self.hosts.borrow_mut().get_mut(&call.host) {
            Some(host) => host.send_on_idle(call, limits),
            None => Err(call),
        }
    }

    /// Registers an idle connection. Returns `None` if its host is no longer ready, or has another process by now.
    pub fn add_idle(&self, id: HostId, peer: HostProcess) -> Option<IdleSlot> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&id)?;
        if !host.keeps_connections_to(peer) {
            return None;
        }
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        Some(host.add_idle(serial))
    }

    /// Removes a connection from the idle ones, which closes it if it is still idle.
    pub fn remove_idle(&self, id: HostId, serial: u64) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.remove_idle(serial);
        }
    }

    /// Closes all idle connections to a host.
    pub fn close_idle(&self, id: HostId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.close_idle();
        }
    }

    /// Acquires a permit for one more connection to a host. At the connection limit, the connection that has been idle
    /// longest is closed to make room; returns `None` if none is idle.
    pub fn acquire_permit(&self, id: HostId, limits: &Limits) -> Option<ConnectionPermit> {
        if self.connections.total() >= limits.upstream_connection_share() {
            match self.close_longest_idle() {
                Eviction::Evicted => {}
                Eviction::NoneIdle => return None,
            }
        }
        Some(self.connections.acquire(id))
    }

    /// Closes the connection that has been idle longest. Its task ends because the sender of its next call is dropped.
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

    /// Counts an established connection in the metrics.
    pub fn record_connect(&self, id: HostId) {
        if let Some(metrics) = &self.metrics {
            metrics.borrow_mut().record_connect(id);
        }
    }

    /// Counts a failed connection attempt in the metrics.
    pub fn record_connect_failure(&self, id: HostId) {
        if let Some(metrics) = &self.metrics {
            metrics.borrow_mut().record_connect_failure(id);
        }
    }

    /// Returns the number of connections that are open or being opened, by host.
    pub fn connections_by_host(&self) -> BTreeMap<HostId, usize> {
        self.connections.by_host()
    }
}
