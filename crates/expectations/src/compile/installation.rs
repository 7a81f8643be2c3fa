//! The installation: zones, limiters, network delays and hosts. [`facts`](super::facts) reads its facts.

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

/// The work of a request on a core of speed 1 if the facts state none for its class.
const DEFAULT_WORK: Nanos = 100_000_000;

/// The processes and facts that an installation and the section `given` of an expectation add to the settings.
pub(super) struct Installation {
    pub(super) processes: Processes,
    pub(super) hosts: Vec<HostSetup>,
    pub(super) network: NetworkDelays,
    /// The deployment's settings with the facts applied: how hosts actually behave, which the limiters do not see.
    pub(super) ground_truth: Settings,
    /// The work of a request on a core of speed 1, by class index.
    pub(super) work: Vec<Nanos>,
}

impl Installation {
    /// Reads an installation file. Without `zones` the zones are those of the deployment.
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

    /// Reads the hosts, network delays and facts of `given`. The network replaces that of the installation; hosts and
    /// facts are changed key by key.
    pub(super) fn read_given(&mut self, given: &mut Reader<'_>, faults: &mut Faults) {
        let file = given.file();
        self.read_hosts(given.node("nodes"), file, faults);
        if let Some(node) = given.node("network") {
            self.network = read_network(Some(node), file, faults);
        }
        self.read_facts(given.node("facts"), file, faults);
    }

    /// Reads hosts. A map adds hosts, or changes those known, by name; a missing key keeps its value or its default. A
    /// list of names removes all other hosts.
    fn read_hosts(&mut self, node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) {
        let Some(node) = node else { return };
        if let Content::List(names) = &node.content {
            self.retain_hosts(names, file, faults);
            return;
        }
        for Entry {
            key: name,
            value: node,
            ..
        } in members(node, file, "nodes", faults)
        {
            let index = self.find_or_add_host(name);
            let mut map = Reader::new(file, &format!("nodes.{name}"), node, faults)
                .with_aliases(aliases::HOST_KEYS);
            let zones = &self.processes.zones;
            let zone = map.take("zone", faults, |node| index_of(node, zones, "zone"));
            let host = &mut self.processes.hosts[index];
            set_if_some(&mut host.zone, zone.map(ZoneId::from_usize));
            let cell = map.take("cell", faults, |node| quantity::count(node, 0..=1_000_000));
            set_if_some(&mut host.cell, cell.map(|cell| CellId(cell as u32)));
            read_host_setup(&mut map, &mut self.hosts[index], faults);
            map.end(faults);
        }
    }

    /// Returns the index of the host of this name; adds a default host if there is none.
    fn find_or_add_host(&mut self, name: &str) -> usize {
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

    /// Removes all hosts but those in `names`.
    fn retain_hosts(&mut self, names: &[Node], file: &Arc<str>, faults: &mut Faults) {
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

/// Assigns `value` to `target` if it is `Some`.
pub(super) fn set_if_some<T>(target: &mut T, value: Option<T>) {
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
        faults.add(
            file,
            start,
            "limiters",
            "missing; write a line `name: zone` for each limiter",
        );
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
    set_if_some(
        &mut network.same_zone,
        map.take("same_zone", faults, quantity::duration),
    );
    set_if_some(
        &mut network.cross_zone,
        map.take("cross_zone", faults, quantity::duration),
    );
    set_if_some(
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
    set_if_some(&mut setup.state, map.keyword("state", &states, faults));
    if let Some(uptime) = map.take("uptime", faults, quantity::duration) {
        setup.uptime = Some(uptime);
    }
    let cores = map.take("cores", faults, |node| quantity::count(node, 1..=1024));
    set_if_some(&mut setup.cores, cores.map(|cores| cores as u32));
    let capacity = map.take("queue_capacity", faults, |node| {
        quantity::count(node, 0..=1_000_000)
    });
    set_if_some(
        &mut setup.queue_capacity,
        capacity.map(|capacity| capacity as usize),
    );
    if let Some(speed) = map.take("speed", faults, quantity::number) {
        if speed > 0.0 {
            setup.speed = speed;
        } else {
            let problem = "must be greater than 0; use a crash step for a node that stops";
            map.fault("speed", problem, faults);
        }
    }
    set_if_some(
        &mut setup.weight,
        map.take("weight", faults, quantity::number),
    );
    set_if_some(&mut setup.absent, map.take("absent", faults, flag));
}
