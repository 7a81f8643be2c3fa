//! The current endpoint list.

use super::endpoint_names::EndpointNames;
use super::received_list::{Endpoint, ListError, ReceivedList};
use crate::api::{HostId, ZoneId};
use serde_json::{json, Value};
use std::collections::BTreeMap;

#[cfg(test)]
pub(super) mod tests;

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// A response of discovery.
    Discovery,
    /// Known before the start, from the configuration or from another process of this limiter.
    Restored,
}

/// How a received list compares with the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListComparison {
    /// The received list replaces or updates the current one.
    Supersedes,
    /// The received list is older, and is ignored.
    Older,
    /// The received list has the same version, and is ignored.
    SameVersion,
}

/// The current list, and the ids of hosts and indices of zones and machine kinds by name.
pub struct EndpointList {
    names: EndpointNames,
    version: u64,
    /// The latest entry of each host, by name.
    endpoints: BTreeMap<String, Endpoint>,
    /// Whether a list was received from discovery since the start.
    has_received: bool,
    /// Number of lists applied from discovery.
    lists_received: u64,
    /// The version of the last full list that was not newer than the current one although it was requested after it;
    /// `None` after a list was applied.
    restart_candidate: Option<u64>,
}

impl EndpointList {
    /// Creates a list without hosts. `zones` and `machine_kinds` are the names from the configuration, in the order of
    /// their indices.
    pub fn new(zones: Vec<String>, machine_kinds: Vec<String>) -> Self {
        EndpointList {
            names: EndpointNames::new(zones, machine_kinds),
            version: 0,
            endpoints: BTreeMap::new(),
            has_received: false,
            lists_received: 0,
            restart_candidate: None,
        }
    }

    /// Returns the version of the current list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a list was received from discovery since the start.
    pub fn has_received(&self) -> bool {
        self.has_received
    }

    /// Returns the number of lists applied from discovery.
    pub fn lists_received(&self) -> u64 {
        self.lists_received
    }

    /// Returns the latest entry of a host; `None` where the host is unknown.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Compares a received list with the current one. `lists_received` is the value of [`Self::lists_received`] when
    /// the list was requested.
    ///
    /// Responses can overtake each other, so the version decides. A full list with a lower version is accepted only
    /// where no other list was applied since its request and the full list before it also had a lower version, no
    /// higher than this one: discovery itself has restarted then.
    pub fn compare(&mut self, list: &ReceivedList, lists_received: u64) -> ListComparison {
        if list.version > self.version || !self.has_received {
            return ListComparison::Supersedes;
        }
        if list.is_full && lists_received == self.lists_received {
            let candidate = self.restart_candidate.replace(list.version);
            let is_lower_again = candidate.is_some_and(|candidate| list.version >= candidate);
            if list.version == self.version || is_lower_again {
                return ListComparison::Supersedes;
            }
        }
        if list.version < self.version {
            ListComparison::Older
        } else {
            ListComparison::SameVersion
        }
    }

    /// Applies a list. A full list, and a list restored at the start, replaces all hosts; any other list updates the
    /// hosts that it contains.
    pub fn apply(&mut self, list: &ReceivedList, source: ListSource) {
        self.version = list.version;
        self.restart_candidate = None;
        if source == ListSource::Discovery {
            self.has_received = true;
            self.lists_received += 1;
        }
        if list.is_full || source == ListSource::Restored {
            self.endpoints.clear();
        }
        for endpoint in &list.endpoints {
            self.endpoints
                .insert(endpoint.name.clone(), endpoint.clone());
        }
    }

    /// Removes all hosts for which `is_retained` returns `false`, and their names.
    pub fn retain_hosts(&mut self, is_retained: impl Fn(HostId) -> bool) {
        self.names.retain_hosts(&is_retained);
        self.endpoints
            .retain(|_, endpoint| is_retained(endpoint.entry.host));
    }

    /// Parses a list, and assigns ids and indices to new names.
    ///
    /// # Errors
    /// Returns an error that names the key where the list is malformed.
    pub fn parse(&mut self, list: &Value) -> Result<ReceivedList, ListError> {
        ReceivedList::parse(list, &mut self.names)
    }

    /// Translates `zone`, an index into the zone names `names` of a configuration, to this list's index of the same
    /// name. Returns `zone` itself where `names` does not contain it.
    pub fn zone(&mut self, names: &[String], zone: ZoneId) -> ZoneId {
        match names.get(zone.as_usize()) {
            Some(name) => self.names.zone_id(name),
            None => zone,
        }
    }

    /// Returns the names of zones, in the order of their indices.
    pub fn zones(&self) -> &[String] {
        self.names.zone_names()
    }

    /// Returns the current list as JSON, in the format of discovery.
    pub fn to_json(&self) -> Value {
        let instances: Vec<_> = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.to_json(&self.names))
            .collect();
        json!({ "generation": self.version, "reset": true, "instances": instances })
    }
}
