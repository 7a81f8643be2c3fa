//! The state of the discovery client: the current endpoint list, and the hosts in maintenance.

use super::endpoint_list::{EndpointList, ListComparison, ListSource};
use super::received_list::{Endpoint, ListError, ReceivedList};
use crate::api::{Event, ListMode, Nanos, ZoneId};
use crate::net::config::{Addresses, Limits};
use crate::net::engine::EngineDriver;
use crate::net::memory::MemoryBudget;
use crate::net::metrics::SharedMetrics;
use crate::net::resp::upstream::UpstreamPool;
use quartzcleat_admin::{MaintenanceChange, MaintenanceOrder, MaintenanceRegistry, UnknownHost};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

#[cfg(test)]
mod tests;

/// The discovery client, which owns the endpoint list and the registry of hosts in maintenance.
pub struct DiscoveryClient {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    addresses: watch::Receiver<Addresses>,
    metrics: Option<SharedMetrics>,
    memory: Rc<MemoryBudget>,
    endpoints: RefCell<EndpointList>,
    maintenance: RefCell<MaintenanceRegistry>,
    /// Whether the names of all hosts ever listed are recorded, for another process of this limiter.
    records_names: bool,
    /// Notified when the watch is behind the current list and must be reopened.
    reopen_watch: Notify,
}

impl DiscoveryClient {
    /// Creates a client with an endpoint list and without metrics or hosts in maintenance.
    pub fn new(
        limits: &Rc<Limits>,
        engine: &Rc<EngineDriver>,
        upstream: &Rc<UpstreamPool>,
        addresses: watch::Receiver<Addresses>,
        endpoints: EndpointList,
    ) -> Self {
        DiscoveryClient {
            limits: limits.clone(),
            engine: engine.clone(),
            upstream: upstream.clone(),
            addresses,
            metrics: None,
            memory: MemoryBudget::new(limits),
            endpoints: RefCell::new(endpoints),
            maintenance: RefCell::default(),
            records_names: false,
            reopen_watch: Notify::new(),
        }
    }

    /// Sets the metrics in which failed calls are counted; with `None` they are not counted.
    #[must_use]
    pub fn with_metrics(self, metrics: Option<SharedMetrics>) -> Self {
        DiscoveryClient { metrics, ..self }
    }

    /// Sets the budget in which the responses of discovery are counted; without it they count in one of their own.
    #[must_use]
    pub fn with_memory(self, memory: &Rc<MemoryBudget>) -> Self {
        let memory = memory.clone();
        DiscoveryClient { memory, ..self }
    }

    /// Sets whether the names of all hosts ever listed are recorded, for another process of this limiter.
    #[must_use]
    pub fn with_name_records(self, records_names: bool) -> Self {
        DiscoveryClient {
            records_names,
            ..self
        }
    }

    /// Returns the configured sizes, counts and durations.
    pub(super) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the budget in which the responses of discovery are counted.
    pub(super) fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    /// Returns a receiver for changes of the services' addresses.
    pub(super) fn addresses(&self) -> watch::Receiver<Addresses> {
        self.addresses.clone()
    }

    /// Returns the current address of discovery.
    pub(super) fn address(&self) -> SocketAddr {
        self.addresses.borrow().discovery
    }

    /// Counts a failed call in the metrics.
    pub(super) fn record_failure(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.borrow_mut().record_list_failure();
        }
    }

    /// Requests that the watch be reopened.
    pub(super) fn reopen_watch(&self) {
        self.reopen_watch.notify_one();
    }

    /// Waits until [`Self::reopen_watch`] is called.
    pub(super) async fn reopen_requested(&self) {
        self.reopen_watch.notified().await;
    }

    /// Parses a list, and assigns ids and indices to new names.
    ///
    /// # Errors
    /// Returns an error that names the key where the list is malformed.
    pub(super) fn parse(&self, list: &Value) -> Result<ReceivedList, ListError> {
        self.endpoints.borrow_mut().parse(list)
    }

    /// Returns the version of the current list.
    pub(super) fn version(&self) -> u64 {
        self.endpoints.borrow().version()
    }

    /// Returns the number of lists applied from discovery.
    pub(super) fn lists_received(&self) -> u64 {
        self.endpoints.borrow().lists_received()
    }

    /// Compares a received list with the current one. `lists_received` is the value of [`Self::lists_received`] when
    /// the list was requested.
    pub(super) fn compare(&self, list: &ReceivedList, lists_received: u64) -> ListComparison {
        self.endpoints.borrow_mut().compare(list, lists_received)
    }

    /// Translates `zone`, an index into the zone names `names` of a configuration, to this limiter's index of the same
    /// name. Returns `zone` itself where `names` does not contain it.
    pub fn zone(&self, names: &[String], zone: ZoneId) -> ZoneId {
        self.endpoints.borrow_mut().zone(names, zone)
    }

    /// Returns the names of zones, in the order of their indices.
    pub fn zone_names(&self) -> Vec<String> {
        self.endpoints.borrow().zones().to_vec()
    }

    /// Returns the current list as JSON, in the format of discovery.
    pub fn list_to_json(&self) -> Value {
        self.endpoints.borrow().to_json()
    }

    /// Returns whether a host is recorded as listed, or has a maintenance order.
    pub fn has_listed(&self, name: &str) -> bool {
        self.maintenance.borrow().contains(name)
    }

    /// Puts a host into maintenance. The change takes effect with [`Self::reapply_maintenance`].
    ///
    /// # Errors
    /// Returns an error if the host was never listed.
    pub fn disable(&self, name: &str, now: Nanos) -> Result<MaintenanceChange, UnknownHost> {
        self.maintenance.borrow_mut().disable(name, now)
    }

    /// Ends the maintenance of a host. The change takes effect with [`Self::reapply_maintenance`].
    ///
    /// # Errors
    /// Returns an error if the host was never listed.
    pub fn enable(&self, name: &str, now: Nanos) -> Result<MaintenanceChange, UnknownHost> {
        self.maintenance.borrow_mut().enable(name, now)
    }

    /// Returns a revision number that grows with every change of the maintenance state.
    pub fn maintenance_revision(&self) -> u64 {
        self.maintenance.borrow().revision()
    }

    /// Returns the latest maintenance order of each host, by name.
    pub fn maintenance_orders(&self) -> BTreeMap<String, MaintenanceOrder> {
        self.maintenance.borrow().orders().clone()
    }

    /// Returns the names of hosts listed so far, oldest first.
    pub fn listed_names(&self) -> Vec<String> {
        self.maintenance.borrow().listed_names().cloned().collect()
    }

    /// Merges the listed hosts and the maintenance orders of another process, and applies the orders that changed.
    pub fn merge_maintenance(
        &self,
        listed: &[String],
        orders: &BTreeMap<String, MaintenanceOrder>,
    ) {
        let changed = {
            let mut maintenance = self.maintenance.borrow_mut();
            for name in listed {
                maintenance.record_listed(name);
            }
            maintenance.merge(orders)
        };
        for name in changed {
            self.reapply_maintenance(&name);
        }
    }

    /// Returns whether a list was received from discovery since the start.
    pub fn has_answered(&self) -> bool {
        self.endpoints.borrow().has_received()
    }

    /// Applies a list that was known before the start; `Null` stands for an empty list.
    ///
    /// # Errors
    /// Returns an error if the list is malformed.
    pub fn restore(&self, known: &Value) -> Result<(), ListError> {
        let list = match known {
            Value::Null => ReceivedList::empty(),
            known => self.endpoints.borrow_mut().parse(known)?,
        };
        self.apply_from(&list, ListSource::Restored);
        Ok(())
    }

    /// Applies a list received from discovery.
    pub(super) fn apply(&self, list: &ReceivedList) {
        self.apply_from(list, ListSource::Discovery);
    }

    /// Applies a list. Only this function and [`Self::reapply_maintenance`] override the listed state of a host by its
    /// maintenance.
    fn apply_from(&self, list: &ReceivedList, source: ListSource) {
        self.endpoints.borrow_mut().apply(list, source);
        let mode = match source {
            ListSource::Restored => ListMode::Restored,
            ListSource::Discovery if list.is_full => ListMode::Replace,
            ListSource::Discovery => ListMode::Update,
        };
        let endpoints = list.endpoints.iter();
        let listed: Vec<_> = endpoints
            .map(|endpoint| self.apply_maintenance(endpoint))
            .collect();
        self.publish(list.version, mode, listed);
        let upstream = &self.upstream;
        self.endpoints
            .borrow_mut()
            .retain_hosts(|host| upstream.contains_host(host));
    }

    /// Returns an endpoint with its maintenance applied: a host in maintenance is draining, whatever its listed state.
    /// Also records its name where names are recorded.
    fn apply_maintenance(&self, endpoint: &Endpoint) -> Endpoint {
        let mut maintenance = self.maintenance.borrow_mut();
        if self.records_names {
            maintenance.record_listed(&endpoint.name);
        }
        Endpoint {
            entry: maintenance.apply(&endpoint.name, &endpoint.entry),
            ..endpoint.clone()
        }
    }

    /// Passes endpoints on to the connection pool and to the decision engine.
    fn publish(&self, version: u64, mode: ListMode, endpoints: Vec<Endpoint>) {
        for endpoint in &endpoints {
            self.upstream.update_host(&endpoint.entry, endpoint.address);
        }
        let entries: Vec<_> = endpoints
            .into_iter()
            .map(|endpoint| endpoint.entry)
            .collect();
        if mode != ListMode::Update {
            self.upstream.retain_listed(&entries);
        }
        self.upstream.close_replaced_hosts();
        self.engine.handle(Event::Hosts {
            version,
            mode,
            entries,
        });
        self.upstream.forget_gone_hosts(&self.limits);
    }

    /// Passes a host on to the connection pool and to the decision engine again, after its maintenance began or ended.
    pub fn reapply_maintenance(&self, name: &str) {
        let (version, endpoint) = {
            let endpoints = self.endpoints.borrow();
            (endpoints.version(), endpoints.endpoint(name).cloned())
        };
        if let Some(mut endpoint) = endpoint {
            endpoint.entry = self.maintenance.borrow().apply(name, &endpoint.entry);
            self.publish(version, ListMode::Update, vec![endpoint]);
        }
    }
}
