//! The endpoint list in discovery's JSON form, and the indices that the decision engine knows its names by.

use crate::api::{CellId, HostEntry, HostId, HostState, ZoneId};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;
const NANOS_PER_MS: u64 = 1_000_000;

/// One host as discovery lists it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Discovery's name of the host.
    pub name: String,
    /// What the decision engine is told.
    pub entry: HostEntry,
    /// Where the host listens.
    pub address: SocketAddr,
}

/// A list as discovery returned it.
#[derive(Debug)]
pub struct ReceivedList {
    /// Discovery's generation of the list.
    pub version: u64,
    /// All hosts are contained; else only those that changed.
    pub is_full: bool,
    /// The hosts.
    pub endpoints: Vec<Endpoint>,
}

impl ReceivedList {
    /// A full list without hosts.
    pub fn empty() -> Self {
        ReceivedList {
            version: 0,
            is_full: true,
            endpoints: Vec::new(),
        }
    }
}

/// Why a list is malformed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ListError {
    /// `generation` is missing or no number.
    #[error("generation: not a number")]
    Generation,
    /// `reset` is missing or no boolean.
    #[error("reset: neither true nor false")]
    Reset,
    /// `instances` is missing or no list.
    #[error("instances: not a list")]
    Instances,
    /// A key of a host is missing or no text.
    #[error("instances: {key} is missing or no text in {host}")]
    MissingText {
        /// The key.
        key: &'static str,
        /// The host, as JSON.
        host: String,
    },
    /// The address of a host is malformed.
    #[error("instances: hostPort is no address in {host}")]
    Address {
        /// The host, as JSON.
        host: String,
    },
}

/// The list in force, and the names of hosts, zones and machine kinds with their indices.
pub struct EndpointList {
    zones: Vec<String>,
    machine_kinds: Vec<String>,
    ids: HashMap<String, HostId>,
    ids_in_use: HashSet<HostId>,
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
            zones,
            machine_kinds,
            ids: HashMap::new(),
            ids_in_use: HashSet::new(),
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

    /// Whether a list supersedes the one in force, where it answers a call that was made when `lists_received` lists had
    /// been received.
    ///
    /// Answers can overtake each other, so the version decides. A version that goes back is believed where no list was
    /// received since the call and two answers in a row go back: then discovery itself has started anew.
    pub fn is_superseded_by(&mut self, list: &ReceivedList, lists_received: u64) -> bool {
        if list.version > self.version || !self.has_received {
            return true;
        }
        if !list.is_full || lists_received != self.lists_received {
            return false;
        }
        let doubted = self.doubted_version.replace(list.version);
        list.version == self.version || doubted.is_some_and(|doubted| list.version >= doubted)
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

    /// Forgets the names of all hosts but these.
    pub fn retain_hosts(&mut self, is_known: impl Fn(HostId) -> bool) {
        self.ids.retain(|_, id| is_known(*id));
        self.ids_in_use.retain(|id| is_known(*id));
        self.endpoints
            .retain(|_, endpoint| is_known(endpoint.entry.host));
    }

    /// Parses a list. New names get indices.
    ///
    /// # Errors
    /// The list is malformed; the error names the key.
    pub fn parse(&mut self, list: &Value) -> Result<ReceivedList, ListError> {
        let version = list.get("generation").and_then(Value::as_u64);
        let is_full = list.get("reset").and_then(Value::as_bool);
        let hosts = list.get("instances").and_then(Value::as_array);
        let version = version.ok_or(ListError::Generation)?;
        let is_full = is_full.ok_or(ListError::Reset)?;
        let hosts = hosts.ok_or(ListError::Instances)?;
        let endpoints: Result<_, _> = hosts.iter().map(|host| self.parse_host(host)).collect();
        Ok(ReceivedList {
            version,
            is_full,
            endpoints: endpoints?,
        })
    }

    fn parse_host(&mut self, host: &Value) -> Result<Endpoint, ListError> {
        let address = text(host, "hostPort")?
            .parse()
            .map_err(|_| ListError::Address {
                host: host.to_string(),
            })?;
        let state = match text(host, "lifecycle")? {
            "SERVING" => HostState::Ready,
            "DELETED" => HostState::Gone,
            // A state that discovery may add one day is not serving.
            _ => HostState::Draining,
        };
        let name = text(host, "instanceId")?;
        let id = self.host_id(name);
        let zone = ZoneId(index_of(&mut self.zones, text(host, "zone")?));
        let kind = index_of(&mut self.machine_kinds, text(host, "machineType")?);
        Ok(Endpoint {
            name: name.to_owned(),
            entry: HostEntry {
                host: id,
                state,
                cell: CellId(number(host, "cell") as u32),
                zone,
                kind,
                started: number(host, "startedAtMs").saturating_mul(NANOS_PER_MS),
                weight: host.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
            },
            address,
        })
    }

    /// The id of a host: a hash of its name, the same at every limiter and after a restart. Where two names share a hash,
    /// the later one gets the next id that is free.
    fn host_id(&mut self, name: &str) -> HostId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let hash = name.bytes().fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
        });
        let mut id = HostId(hash);
        while !self.ids_in_use.insert(id) {
            id = HostId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The zone of this list that has the name of the zone `zone` of a configuration with the zone names `names`.
    pub fn zone(&mut self, names: &[String], zone: ZoneId) -> ZoneId {
        match names.get(zone.as_usize()) {
            Some(name) => ZoneId(index_of(&mut self.zones, name)),
            None => zone,
        }
    }

    /// The names of zones, by their indices.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The list in force, in discovery's form.
    pub fn to_json(&self) -> Value {
        let instances: Vec<_> = self
            .endpoints
            .values()
            .map(|endpoint| self.host_to_json(endpoint))
            .collect();
        json!({ "generation": self.version, "reset": true, "instances": instances })
    }

    fn host_to_json(&self, endpoint: &Endpoint) -> Value {
        let entry = &endpoint.entry;
        let state = match entry.state {
            HostState::Ready => "SERVING",
            HostState::Draining => "DRAINING",
            HostState::Gone => "DELETED",
        };
        json!({
            "instanceId": endpoint.name,
            "hostPort": endpoint.address.to_string(),
            "zone": name_of(&self.zones, entry.zone.0),
            "machineType": name_of(&self.machine_kinds, entry.kind),
            "cell": entry.cell.0,
            "lifecycle": state,
            "weight": entry.weight,
            "startedAtMs": entry.started / NANOS_PER_MS,
        })
    }
}

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Discovery returned it.
    Discovery,
    /// The configuration or another process of this limiter knew it before the start.
    Restored,
}

fn text<'a>(host: &'a Value, key: &'static str) -> Result<&'a str, ListError> {
    let text = host.get(key).and_then(Value::as_str);
    text.ok_or_else(|| ListError::MissingText {
        key,
        host: host.to_string(),
    })
}

/// A whole number of a host; zero where it is missing.
fn number(host: &Value, key: &str) -> u64 {
    host.get(key).and_then(Value::as_u64).unwrap_or(0)
}

/// The index of a name; a new name gets the next index.
fn index_of(names: &mut Vec<String>, name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    let index = known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index as u32
}

fn name_of(names: &[String], index: u32) -> &str {
    names.get(index as usize).map_or("", String::as_str)
}
