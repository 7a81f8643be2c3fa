//! The state of the discovery client: the endpoint list in force, and the hosts in maintenance.

use super::endpoint_list::{EndpointList, ListSource, ListVerdict};
use super::received_list::{Endpoint, ListError, ReceivedList};
use crate::api::{Event, ListMode, Nanos, ZoneId};
use crate::net::config::{Addresses, Limits};
use crate::net::engine::EngineDriver;
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

/// Owns the endpoint list and the hosts in maintenance.
pub struct DiscoveryClient {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    addresses: watch::Receiver<Addresses>,
    metrics: Option<SharedMetrics>,
    endpoints: RefCell<EndpointList>,
    maintenance: RefCell<MaintenanceRegistry>,
    /// The names of all hosts ever listed are recorded, for another process of this limiter.
    records_names: bool,
    /// Notified when the watch is behind the list in force, and is to be opened again.
    reopen_watch: Notify,
}

impl DiscoveryClient {
    /// A client that has not called discovery yet.
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
            endpoints: RefCell::new(endpoints),
            maintenance: RefCell::default(),
            records_names: false,
            reopen_watch: Notify::new(),
        }
    }

    /// Counts failed calls in the metrics.
    #[must_use]
    pub fn with_metrics(self, metrics: Option<SharedMetrics>) -> Self {
        DiscoveryClient { metrics, ..self }
    }

    /// Sets whether the names of all hosts ever listed are recorded, for another process of this limiter.
    #[must_use]
    pub fn with_name_records(self, records_names: bool) -> Self {
        DiscoveryClient {
            records_names,
            ..self
        }
    }

    /// Sizes, counts and times.
    pub(super) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// A receiver that follows the addresses of the services.
    pub(super) fn addresses(&self) -> watch::Receiver<Addresses> {
        self.addresses.clone()
    }

    /// Discovery's address at this moment.
    pub(super) fn address(&self) -> SocketAddr {
        self.addresses.borrow().discovery
    }

    /// Counts a failed call.
    pub(super) fn record_failure(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.borrow_mut().record_list_failure();
        }
    }

    /// Asks for the watch to be opened again.
    pub(super) fn reopen_watch(&self) {
        self.reopen_watch.notify_one();
    }

    /// Waits until the watch is to be opened again.
    pub(super) async fn watch_reopening(&self) {
        self.reopen_watch.notified().await;
    }

    /// Parses a list. New names get indices.
    ///
    /// # Errors
    /// The list is malformed; the error names the key.
    pub(super) fn parse(&self, list: &Value) -> Result<ReceivedList, ListError> {
        self.endpoints.borrow_mut().parse(list)
    }

    /// The version of the list in force.
    pub(super) fn version(&self) -> u64 {
        self.endpoints.borrow().version()
    }

    /// How many lists were received from discovery.
    pub(super) fn lists_received(&self) -> u64 {
        self.endpoints.borrow().lists_received()
    }

    /// Compares a list with the one in force, where it answers a call that was made when `lists_received` lists had been
    /// received.
    pub(super) fn compare(&self, list: &ReceivedList, lists_received: u64) -> ListVerdict {
        self.endpoints.borrow_mut().compare(list, lists_received)
    }

    /// The zone of this limiter that has the name of the zone `zone` of a configuration with the zone names `names`.
    pub fn zone(&self, names: &[String], zone: ZoneId) -> ZoneId {
        self.endpoints.borrow_mut().zone(names, zone)
    }

    /// The names of zones, by their indices.
    pub fn zone_names(&self) -> Vec<String> {
        self.endpoints.borrow().zones().to_vec()
    }

    /// The list in force, in discovery's form.
    pub fn list_to_json(&self) -> Value {
        self.endpoints.borrow().to_json()
    }

    /// Whether a host was listed at some time, or there is an order on its maintenance.
    pub fn has_listed(&self, name: &str) -> bool {
        self.maintenance.borrow().contains(name)
    }

    /// Puts a host into maintenance. [`Self::reapply_maintenance`] makes the change known.
    ///
    /// # Errors
    /// The host was never listed.
    pub fn disable(&self, name: &str, now: Nanos) -> Result<MaintenanceChange, UnknownHost> {
        self.maintenance.borrow_mut().disable(name, now)
    }

    /// Ends the maintenance of a host. [`Self::reapply_maintenance`] makes the change known.
    ///
    /// # Errors
    /// The host was never listed.
    pub fn enable(&self, name: &str, now: Nanos) -> Result<MaintenanceChange, UnknownHost> {
        self.maintenance.borrow_mut().enable(name, now)
    }

    /// A number that grows with every change of the maintenance.
    pub fn maintenance_revision(&self) -> u64 {
        self.maintenance.borrow().revision()
    }

    /// The latest order on the maintenance of each host.
    pub fn maintenance_orders(&self) -> BTreeMap<String, MaintenanceOrder> {
        self.maintenance.borrow().orders().clone()
    }

    /// The names of hosts listed so far, oldest first.
    pub fn listed_names(&self) -> Vec<String> {
        self.maintenance.borrow().listed_names().cloned().collect()
    }

    /// Takes in another process's listed hosts and its orders on maintenance.
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

    /// Whether a list was received from discovery since the start.
    pub fn has_answered(&self) -> bool {
        self.endpoints.borrow().has_received()
    }

    /// Puts a list into force that was known before the start; `Null` stands for an empty one.
    ///
    /// # Errors
    /// The list is malformed.
    pub fn restore(&self, known: &Value) -> Result<(), ListError> {
        let list = match known {
            Value::Null => ReceivedList::empty(),
            known => self.endpoints.borrow_mut().parse(known)?,
        };
        self.apply_from(&list, ListSource::Restored);
        Ok(())
    }

    /// Puts a list of discovery into force.
    pub(super) fn apply(&self, list: &ReceivedList) {
        self.apply_from(list, ListSource::Discovery);
    }

    /// Puts a list into force. Maintenance overrides the state that the list has for a host, here and in
    /// [`Self::reapply_maintenance`] only.
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
        self.announce(list.version, mode, listed);
        let upstream = &self.upstream;
        self.endpoints
            .borrow_mut()
            .retain_hosts(|host| upstream.contains_host(host));
    }

    /// An endpoint with its maintenance applied: a host in maintenance is draining, in whichever state discovery lists
    /// it.
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

    /// Hands endpoints to the pool and to the engine.
    fn announce(&self, version: u64, mode: ListMode, endpoints: Vec<Endpoint>) {
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
        self.engine.handle(Event::Hosts {
            version,
            mode,
            entries,
        });
        self.upstream.forget_gone_hosts(&self.limits);
    }

    /// Hands a host to the pool and to the engine again, after its maintenance began or ended.
    pub fn reapply_maintenance(&self, name: &str) {
        let (version, endpoint) = {
            let endpoints = self.endpoints.borrow();
            (endpoints.version(), endpoints.endpoint(name).cloned())
        };
        if let Some(mut endpoint) = endpoint {
            endpoint.entry = self.maintenance.borrow().apply(name, &endpoint.entry);
            self.announce(version, ListMode::Update, vec![endpoint]);
        }
    }
}
