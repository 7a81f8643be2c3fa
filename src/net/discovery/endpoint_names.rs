//! The ids and indices by which the decision engine identifies hosts, zones and machine kinds.

use crate::api::{HostId, ZoneId};
use std::collections::{HashMap, HashSet};

#[cfg(test)]
mod tests;

/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// The ids of hosts and the indices of zones and machine kinds, by name.
pub struct EndpointNames {
    zones: NameTable,
    machine_kinds: NameTable,
    hosts: HostIds,
}

impl EndpointNames {
    /// Creates a table without hosts. `zones` and `machine_kinds` are the names from the configuration, in the order of
    /// their indices.
    pub fn new(zones: Vec<String>, machine_kinds: Vec<String>) -> Self {
        EndpointNames {
            zones: NameTable { names: zones },
            machine_kinds: NameTable {
                names: machine_kinds,
            },
            hosts: HostIds::default(),
        }
    }

    /// Returns the id of a host, and assigns one to a new name.
    pub fn host_id(&mut self, name: &str) -> HostId {
        self.hosts.id(name)
    }

    /// Returns the id of a zone, and assigns the next one to a new name.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.index(name))
    }

    /// Returns the index of a machine kind, and assigns the next one to a new name.
    pub fn machine_kind(&mut self, name: &str) -> u32 {
        self.machine_kinds.index(name)
    }

    /// Returns the name of a zone; empty where the zone is unknown.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.name(zone.0)
    }

    /// Returns the name of a machine kind; empty where the kind is unknown.
    pub fn machine_kind_name(&self, kind: u32) -> &str {
        self.machine_kinds.name(kind)
    }

    /// Returns the names of zones, in the order of their indices.
    pub fn zone_names(&self) -> &[String] {
        &self.zones.names
    }

    /// Removes the names and ids of all hosts for which `is_retained` returns `false`.
    pub fn retain_hosts(&mut self, is_retained: impl Fn(HostId) -> bool) {
        self.hosts.retain(is_retained);
    }
}

/// Names whose index is their position, in the order in which they were added.
struct NameTable {
    names: Vec<String>,
}

impl NameTable {
    fn index(&mut self, name: &str) -> u32 {
        let known = self.names.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.names.len() - 1
        });
        index as u32
    }

    fn name(&self, index: u32) -> &str {
        self.names.get(index as usize).map_or("", String::as_str)
    }
}

/// The ids of hosts: hashes of their names, so that they are the same at every limiter and after a restart.
#[derive(Default)]
struct HostIds {
    ids: HashMap<String, HostId>,
    in_use: HashSet<HostId>,
}

impl HostIds {
    /// Returns the id of a host, and assigns one to a new name. On a hash collision the later name gets the next free
    /// id.
    fn id(&mut self, name: &str) -> HostId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = HostId(fnv1a(name));
        while !self.in_use.insert(id) {
            id = HostId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_owned(), id);
        id
    }

    fn retain(&mut self, is_retained: impl Fn(HostId) -> bool) {
        self.ids.retain(|_, id| is_retained(*id));
        self.in_use.retain(|id| is_retained(*id));
    }
}

fn fnv1a(name: &str) -> u32 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
