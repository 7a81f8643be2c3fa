//! The installation: zones, limiters, delays and hosts. Its facts are read in [`facts`](super::facts).

use super::aliases;
use super::reading::{index_of, index_of_process, members};
use quartzcleat_config::reader::{flag, list};
use quartzcleat_config::tree::{Content, Entry, Node, Place};
use quartzcleat_config::{quantity, Deployment, Faults, Reader};
use quartzcleat_decision::api::{CellId, HostState, Nanos, Settings, ZoneId};
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{HostSetup, NetworkDelays};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The work of a request where the installation states none for its class.
const DEFAULT_WORK: Nanos = 100_000_000;

/// The facts that an installation and an expectation add to the settings.
pub(super) struct Installation {
    pub(super) processes: Processes,
    pub(super) hosts: Vec<HostSetup>,
    pub(super) network: NetworkDelays,
    /// The true settings of hosts and rules, which the settings under test do not change.
    pub(super) ground_truth: Settings,
    /// The work of a request, by class.
    pub(super) work: Vec<Nanos>,
}

impl Installation {
    /// Reads the installation's file.
    pub(super) fn read(top: &mut Reader<'_>, deployment: &Deployment, faults: &mut Faults) -> Self {
        let file = top.file();
        let classes = &deployment.settings.classes;
        let mut zones = read_names(top, "zones", faults);
        if zones.is_empty() {
            zones.clone_from(&deployment.zone_names);
        }
        let limiters = read_limiters(top.node("limiters"), file, &zones, faults);
        let mut installation = Installation {
            processes: Processes {
                zones,
                limiters,
                classes: classes.iter().map(|class| class.name.clone()).collect(),
                ..Processes::default()
            },
            hosts: Vec::new(),
            network: read_network(top.node("network"), file, faults),
            ground_truth: deployment.settings.clone(),
            work: vec![DEFAULT_WORK; classes.len()],
        };
        installation.read_facts(top.node("facts"), file, faults);
        installation.read_hosts(top.node("nodes"), file, faults);
        installation
    }

    /// Reads the parts of an installation that an expectation replaces.
    pub(super) fn read_given(&mut self, given: &mut Reader<'_>, faults: &mut Faults) {
        let file = given.file();
        self.read_hosts(given.node("nodes"), file, faults);
        if let Some(node) = given.node("network") {
            self.network = read_network(Some(node), file, faults);
        }
        self.read_facts(given.node("facts"), file, faults);
    }

    /// Hosts: a map of names and the differences from a default host, or a list of the only hosts that are present.
    fn read_hosts(&mut self, node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) {
        let Some(node) = node else { return };
        if let Content::List(names) = &node.content {
            self.keep_hosts(names, file, faults);
            return;
        }
        for Entry {
            key: name,
            value: node,
            ..
        } in members(node, file, "nodes", faults)
        {
            let index = self.host_index(name);
            let mut map = Reader::new(file, &format!("nodes.{name}"), node, faults)
                .with_aliases(aliases::HOST_KEYS);
            let zones = &self.processes.zones;
            let zone = map.take("zone", faults, |node| index_of(node, zones, "zone"));
            let host = &mut self.processes.hosts[index];
            replace(&mut host.zone, zone.map(ZoneId::from_usize));
            let cell = map.take("cell", faults, |node| quantity::count(node, 0..=1_000_000));
            replace(&mut host.cell, cell.map(|cell| CellId(cell as u32)));
            read_host_setup(&mut map, &mut self.hosts[index], faults);
            map.end(faults);
        }
    }

    /// The index of a host, which is added where it is not known yet.
    fn host_index(&mut self, name: &str) -> usize {
        let hosts = &mut self.processes.hosts;
        if let Some(index) = hosts.iter().position(|host| host.name == name) {
            return index;
        }
        hosts.push(Process {
            name: name.to_owned(),
            ..Process::default()
        });
        self.hosts.push(HostSetup::default());
        hosts.len() - 1
    }

    /// Keeps only the hosts of these names.
    fn keep_hosts(&mut self, names: &[Node], file: &Arc<str>, faults: &mut Faults) {
        let mut retained = BTreeSet::new();
        for name in names {
            match index_of_process(name, &self.processes.hosts, "node") {
                Ok(index) => {
                    retained.insert(index);
                }
                Err(problem) => faults.add(file, name.place, "nodes", problem),
            }
        }
        retain_indices(&mut self.processes.hosts, &retained);
        retain_indices(&mut self.hosts, &retained);
    }
}

/// Replaces a value, where there is a new one.
pub(super) fn replace<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

fn retain_indices<T>(items: &mut Vec<T>, retained: &BTreeSet<usize>) {
    let mut index = 0;
    items.retain(|_| {
        let is_retained = retained.contains(&index);
        index += 1;
        is_retained
    });
}

fn read_names(reader: &mut Reader<'_>, key: &'static str, faults: &mut Faults) -> Vec<String> {
    let Some(node) = reader.node(key) else {
        return Vec::new();
    };
    let mut names = Vec::new();
    for member in list(node) {
        match member.text() {
            Some(name) => names.push(name),
            None => reader.fault(key, "not a list of names", faults),
        }
    }
    names
}

fn read_limiters(
    node: Option<&Node>,
    file: &Arc<str>,
    zones: &[String],
    faults: &mut Faults,
) -> Vec<Process> {
    let Some(node) = node else {
        let start = Place { line: 1, column: 1 };
        faults.add(file, start, "limiters", "missing; write name: zone lines");
        return Vec::new();
    };
    let mut limiters = Vec::new();
    for Entry {
        key: name,
        place,
        value: zone,
    } in members(node, file, "limiters", faults)
    {
        match index_of(zone, zones, "zone") {
            Ok(zone) => limiters.push(Process {
                name: name.clone(),
                zone: ZoneId::from_usize(zone),
                cell: CellId(0),
            }),
            Err(problem) => {
                faults.add(file, *place, format!("limiters.{name}"), problem);
            }
        }
    }
    limiters
}

fn read_network(node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) -> NetworkDelays {
    let mut network = NetworkDelays::default();
    let Some(node) = node else { return network };
    let mut map = Reader::new(file, "network", node, faults).with_aliases(aliases::NETWORK_KEYS);
    replace(
        &mut network.same_zone,
        map.take("same_zone", faults, quantity::duration),
    );
    replace(
        &mut network.cross_zone,
        map.take("cross_zone", faults, quantity::duration),
    );
    replace(
        &mut network.counter,
        map.take("counter", faults, quantity::duration),
    );
    map.end(faults);
    network
}

fn read_host_setup(map: &mut Reader<'_>, setup: &mut HostSetup, faults: &mut Faults) {
    let states = [
        ("serving", HostState::Ready),
        ("draining", HostState::Draining),
    ];
    replace(&mut setup.state, map.keyword("state", &states, faults));
    if let Some(uptime) = map.take("uptime", faults, quantity::duration) {
        setup.uptime = Some(uptime);
    }
    let cores = map.take("cores", faults, |node| quantity::count(node, 1..=1024));
    replace(&mut setup.cores, cores.map(|cores| cores as u32));
    let capacity = map.take("queue_capacity", faults, |node| {
        quantity::count(node, 0..=1_000_000)
    });
    replace(
        &mut setup.queue_capacity,
        capacity.map(|capacity| capacity as usize),
    );
    if let Some(speed) = map.take("speed", faults, quantity::number) {
        if speed > 0.0 {
            setup.speed = speed;
        } else {
            let problem = "0; a node without any speed has crashed";
            map.fault("speed", problem, faults);
        }
    }
    replace(
        &mut setup.weight,
        map.take("weight", faults, quantity::number),
    );
    replace(&mut setup.absent, map.take("absent", faults, flag));
}
