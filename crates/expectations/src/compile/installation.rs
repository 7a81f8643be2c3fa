//! The installation: zones, limiters, delays, hosts, and the facts that no setting changes.

use super::aliases;
use super::reading::{index_of, index_of_name, index_of_process, members};
use crate::error::ValueError;
use quartzcleat_config::reader::{flag, list, one_of_renamed, text};
use quartzcleat_config::tree::{Content, Entry, Node, Place};
use quartzcleat_config::{quantity, Deployment, Faults, Reader};
use quartzcleat_decision::api::{
    CellId, Class, DedupScope, Effect, HostState, Nanos, Settings, ZoneId,
};
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{HostSetup, NetworkDelays};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The work of a request where the installation states none for its class.
const DEFAULT_WORK: Nanos = 100_000_000;

/// How the hosts treat repeats of a class's requests.
#[derive(Clone, Copy)]
struct Repeats {
    effect: Effect,
    dedup_scope: DedupScope,
}

const REPEATS: [(&str, Repeats); 5] = [
    ("idempotent", repeats(Effect::Idempotent, DedupScope::All)),
    ("never", repeats(Effect::Unsafe, DedupScope::Cell)),
    (
        "deduplicated by all",
        repeats(Effect::IdempotentWithKey, DedupScope::All),
    ),
    (
        "deduplicated by the zone",
        repeats(Effect::IdempotentWithKey, DedupScope::Zone),
    ),
    (
        "deduplicated by the cell",
        repeats(Effect::IdempotentWithKey, DedupScope::Cell),
    ),
];

const fn repeats(effect: Effect, dedup_scope: DedupScope) -> Repeats {
    Repeats {
        effect,
        dedup_scope,
    }
}

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

    /// Reads what an expectation gives in place of the installation's.
    pub(super) fn read_given(&mut self, given: &mut Reader<'_>, faults: &mut Faults) {
        let file = given.file();
        self.read_hosts(given.node("nodes"), file, faults);
        if let Some(node) = given.node("network") {
            self.network = read_network(Some(node), file, faults);
        }
        self.read_facts(given.node("facts"), file, faults);
    }

    fn read_facts(&mut self, node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) {
        let Some(node) = node else { return };
        let truth = &mut self.ground_truth;
        let mut map = Reader::new(file, "facts", node, faults).with_aliases(aliases::FACT_KEYS);
        replace(
            &mut truth.grace.drain,
            map.take("drain_grace", faults, quantity::time),
        );
        let max_attempts = map.take("max_attempts", faults, |node| {
            quantity::count(node, 1..=100)
        });
        replace(
            &mut truth.attempts.max_per_request,
            max_attempts.map(|count| count as u32),
        );
        if let Some(node) = map.node("slow_start") {
            read_slow_start(truth, node, file, faults);
        }
        if let Some(node) = map.node("classes") {
            self.read_class_facts(node, file, faults);
        }
        map.end(faults);
    }

    fn read_class_facts(&mut self, node: &Node, file: &Arc<str>, faults: &mut Faults) {
        let names = &self.processes.classes;
        for Entry {
            key: name,
            place,
            value: node,
        } in members(node, file, "facts.classes", faults)
        {
            let path = format!("facts.classes.{name}");
            match index_of_name(name, names, "class") {
                Ok(index) => {
                    let class = &mut self.ground_truth.classes[index];
                    let mut map = Reader::new(file, &path, node, faults)
                        .with_aliases(aliases::CLASS_FACT_KEYS);
                    read_class(&mut map, class, &mut self.work[index], faults);
                    map.end(faults);
                }
                Err(problem) => faults.add(file, *place, path, problem),
            }
        }
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
        let mut kept = BTreeSet::new();
        for name in names {
            match index_of_process(name, &self.processes.hosts, "node") {
                Ok(index) => {
                    kept.insert(index);
                }
                Err(problem) => faults.add(file, name.place, "nodes", problem),
            }
        }
        retain_indices(&mut self.processes.hosts, &kept);
        retain_indices(&mut self.hosts, &kept);
    }
}

/// Replaces a value, where there is a new one.
fn replace<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

fn retain_indices<T>(items: &mut Vec<T>, kept: &BTreeSet<usize>) {
    let mut index = 0;
    items.retain(|_| {
        let is_kept = kept.contains(&index);
        index += 1;
        is_kept
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
        map.take("same_zone", faults, quantity::time),
    );
    replace(
        &mut network.cross_zone,
        map.take("cross_zone", faults, quantity::time),
    );
    replace(
        &mut network.counter,
        map.take("counter", faults, quantity::time),
    );
    map.end(faults);
    network
}

fn read_slow_start(truth: &mut Settings, node: &Node, file: &Arc<str>, faults: &mut Faults) {
    let mut map =
        Reader::new(file, "facts.slow_start", node, faults).with_aliases(aliases::SLOW_START_KEYS);
    replace(
        &mut truth.slow_start.initial_capacity,
        map.take("initial_capacity", faults, quantity::share),
    );
    replace(
        &mut truth.slow_start.duration,
        map.take("duration", faults, quantity::time),
    );
    replace(
        &mut truth.slow_start.overload_duration,
        map.take("overload_duration", faults, quantity::time),
    );
    replace(
        &mut truth.slow_start.overload_factor,
        map.take("overload_factor", faults, quantity::number),
    );
    map.end(faults);
}

fn read_class(map: &mut Reader<'_>, class: &mut Class, work: &mut Nanos, faults: &mut Faults) {
    if let Some(repeats) = map.take("repeats", faults, read_repeats) {
        class.effect = repeats.effect;
        class.dedup_scope = repeats.dedup_scope;
    }
    replace(
        &mut class.dedup_window,
        map.take("dedup_window", faults, quantity::time),
    );
    replace(work, map.take("work", faults, quantity::time));
}

fn read_repeats(node: &Node) -> Result<Repeats, ValueError> {
    Ok(one_of_renamed(&text(node)?, &REPEATS, aliases::REPEATS)?)
}

fn read_host_setup(map: &mut Reader<'_>, setup: &mut HostSetup, faults: &mut Faults) {
    let states = [
        ("serving", HostState::Ready),
        ("draining", HostState::Draining),
    ];
    replace(&mut setup.state, map.keyword("state", &states, faults));
    if let Some(uptime) = map.take("uptime", faults, quantity::time) {
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
