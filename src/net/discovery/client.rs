//! The state of the discovery client: the endpoint list in force, and the hosts in maintenance.

use super::endpoint_list::{EndpointList, ListSource};
use super::received_list::{Endpoint, ListError, ReceivedList};
use crate::api::{Event, ListMode};
use crate::net::config::{Addresses, Limits};
use crate::net::engine::EngineDriver;
use crate::net::metrics::SharedMetrics;
use crate::net::resp::upstream::UpstreamPool;
use quartzcleat_admin::MaintenanceRegistry;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

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
    pub fn with_metrics(self, metrics: Option<SharedMetrics>) -> Self {
        DiscoveryClient { metrics, ..self }
    }

    /// Sets whether the names of all hosts ever listed are recorded, for another process of this limiter.
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

    /// The endpoint list in force.
    pub fn endpoints(&self) -> &RefCell<EndpointList> {
        &self.endpoints
    }

    /// The hosts in maintenance.
    pub fn maintenance(&self) -> &RefCell<MaintenanceRegistry> {
        &self.maintenance
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
