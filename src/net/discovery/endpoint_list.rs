//! The endpoint list in force.

use super::endpoint_names::EndpointNames;
use super::received_list::{Endpoint, ListError, ReceivedList};
use crate::api::{HostId, ZoneId};
use serde_json::{json, Value};
use std::collections::BTreeMap;

#[cfg(test)]
pub(super) mod tests;

/// The source of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Discovery returned it.
    Discovery,
    /// The configuration or another process of this limiter knew it before the start.
    Restored,
}

/// How a received list relates to the list in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// It is put into force.
    Supersedes,
    /// It is older, and changes nothing.
    Older,
    /// It has the same version, and changes nothing.
    SameVersion,
}

/// The list in force, and the names of hosts, zones and machine kinds with their indices.
pub struct EndpointList {
    names: EndpointNames,
    version: u64,
    /// Each host as listed last, by name.
    endpoints: BTreeMap<String, Endpoint>,
    /// A list was received from discovery.
    has_received: bool,
    /// How many lists were received from discovery.
    lists_received: u64,
    /// The version of a full list that was older than the one in force, until another list is applied.
    doubted_version: Option<u64>,
}

impl EndpointList {
    /// A list without hosts; `zones` and `machine_kinds` have their indices from the configuration.
    pub fn new(zones: Vec<String>, machine_kinds: Vec<String>) -> Self {
        EndpointList {
            names: EndpointNames::new(zones, machine_kinds),
            version: 0,
            endpoints: BTreeMap::new(),
            has_received: false,
            lists_received: 0,
            doubted_version: None,
        }
    }

    /// The version of the list in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a list was received from discovery since the start.
    pub fn has_received(&self) -> bool {
        self.has_received
    }

    /// How many lists were received from discovery.
    pub fn lists_received(&self) -> u64 {
        self.lists_received
    }

    /// A host as listed last.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Compares a list with the one in force, where it answers a call that was made when `lists_received` lists had
    /// been received.
    ///
    /// Answers can overtake each other, so the version decides. A version that goes back is believed where no list was
    /// received since the call and two answers in a row go back: then discovery itself has started anew.
    pub fn compare(&mut self, list: &ReceivedList, lists_received: u64) -> ListVerdict {
        if list.version > self.version || !self.has_received {
            return ListVerdict::Supersedes;
        }
        if list.is_full && lists_received == self.lists_received {
            let doubted = self.doubted_version.replace(list.version);
            let goes_back_again = doubted.is_some_and(|doubted| list.version >= doubted);
            if list.version == self.version || goes_back_again {
                return ListVerdict::Supersedes;
            }
        }
        if list.version < self.version {
            ListVerdict::Older
        } else {
            ListVerdict::SameVersion
        }
    }

    /// Puts a list into force that was received from discovery, or that was known before the start.
    pub fn apply(&mut self, list: &ReceivedList, source: ListSource) {
        self.version = list.version;
        self.doubted_version = None;
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

    /// Forgets all hosts but these.
    pub fn retain_hosts(&mut self, is_retained: impl Fn(HostId) -> bool) {
        self.names.retain_hosts(&is_retained);
        self.endpoints
            .retain(|_, endpoint| is_retained(endpoint.entry.host));
    }

    /// Parses a list. New names get indices.
    ///
    /// # Errors
    /// The list is malformed; the error names the key.
    pub fn parse(&mut self, list: &Value) -> Result<ReceivedList, ListError> {
        ReceivedList::parse(list, &mut self.names)
    }

    /// The zone of this list that has the name of the zone `zone` of a configuration with the zone names `names`.
    pub fn zone(&mut self, names: &[String], zone: ZoneId) -> ZoneId {
        match names.get(zone.as_usize()) {
            Some(name) => self.names.zone_id(name),
            None => zone,
        }
    }

    /// The names of zones, by their indices.
    pub fn zones(&self) -> &[String] {
        self.names.zone_names()
    }

    /// The list in force, in discovery's form.
    pub fn to_json(&self) -> Value {
        let instances: Vec<_> = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.to_json(&self.names))
            .collect();
        json!({ "generation": self.version, "reset": true, "instances": instances })
    }
}
