//! The client of the discovery service: follows the endpoint list without a gap, and tells the decision engine and the
//! connections to hosts of each change.

pub mod backoff;
mod connection;
mod endpoint_list;
pub mod http;
mod watch;

#[cfg(test)]
mod crossings;
#[cfg(test)]
pub(crate) mod tests;

pub use backoff::Backoff;
pub use endpoint_list::{Endpoint, EndpointList, ListError, ListSource, ReceivedList};
pub use watch::{check, follow};

use super::config::{Addresses, Limits};
use super::engine::EngineDriver;
use super::metrics::SharedMetrics;
use super::resp::upstream::UpstreamPool;
use crate::api::{Event, ListMode};
use quartzcleat_admin::MaintenanceRegistry;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{watch as watch_channel, Notify};

/// Owns the endpoint list and the hosts in maintenance.
pub struct DiscoveryClient {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    addresses: watch_channel::Receiver<Addresses>,
    metrics: Option<SharedMetrics>,
    endpoints: RefCell<EndpointList>,
    maintenance: RefCell<MaintenanceRegistry>,
    /// The names of all hosts ever listed are kept for another process of this limiter.
    records_names: bool,
    /// Notified when the watch is behind, and is to be opened again.
    reopen_watch: Notify,
}

/// The parts of a limiter that discovery works with.
pub struct DiscoveryParts {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// Is told of each list.
    pub engine: Rc<EngineDriver>,
    /// Is told of each host's address and state.
    pub upstream: Rc<UpstreamPool>,
    /// Where discovery listens.
    pub addresses: watch_channel::Receiver<Addresses>,
    /// Counts failed calls.
    pub metrics: Option<SharedMetrics>,
}

impl DiscoveryClient {
    /// A client that has not called discovery yet. `records_names` keeps the names of all hosts ever listed, for another
    /// process of this limiter.
    pub fn new(parts: DiscoveryParts, endpoints: EndpointList, records_names: bool) -> Self {
        DiscoveryClient {
            limits: parts.limits,
            engine: parts.engine,
            upstream: parts.upstream,
            addresses: parts.addresses,
            metrics: parts.metrics,
            endpoints: RefCell::new(endpoints),
            maintenance: RefCell::default(),
            records_names,
            reopen_watch: Notify::new(),
        }
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
    fn apply(&self, list: &ReceivedList) {
        self.apply_from(list, ListSource::Discovery);
    }

    /// Puts a list into force. Maintenance overrides what the list says of a host, here and in
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

    /// A host as the engine is told of it: in maintenance it is draining, whatever discovery says.
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

    /// Tells the pool and the engine of hosts.
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

    /// Tells the engine of a host anew, after its maintenance began or ended.
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
