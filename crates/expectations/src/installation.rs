//! What an installation gives: rooms, limiters, delays, nodes and the facts that no setting changes.

use quartzcleat_config::fault::nearest;
use quartzcleat_config::reader::{flag, list, text};
use quartzcleat_config::tree::{Content, Node, Place};
use quartzcleat_config::{quantity, Faults, Reader};
use quartzcleat_decision::api::{Effect, Group, HostState, Nanos, Settings};
use quartzcleat_invariants::Process;
use quartzcleat_invariants::Processes;
use quartzcleat_simulation::scenario::{HostSetup, NetworkDelays};
use std::collections::BTreeSet;
use std::sync::Arc;

pub(crate) fn names_of(
    reader: &mut Reader<'_>,
    key: &'static str,
    faults: &mut Faults,
) -> Vec<String> {
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

pub(crate) fn members<'a>(
    node: &'a Node,
    file: &Arc<str>,
    key: &str,
    faults: &mut Faults,
) -> &'a [(String, Place, Node)] {
    match &node.content {
        Content::Map(members) => members,
        Content::Null => &[],
        _ => {
            faults.add(file, node.place, key, "not a map of names");
            &[]
        }
    }
}

pub(crate) fn place_of(name: &str, names: &[String], what: &str) -> Result<usize, String> {
    names.iter().position(|known| known == name).ok_or_else(|| {
        match nearest(name, names.iter().map(String::as_str)) {
            Some(near) => format!("no {what} {name:?}; did you mean {near}?"),
            None => format!("no {what} {name:?}; known: {}", names.join(", ")),
        }
    })
}

pub(crate) fn process(processes: &[Process], name: &str, what: &str) -> Result<usize, String> {
    let names: Vec<String> = processes
        .iter()
        .map(|process| process.name.clone())
        .collect();
    place_of(name, &names, what)
}

pub(crate) fn limiters(
    node: Option<&Node>,
    file: &Arc<str>,
    zones: &[String],
    faults: &mut Faults,
) -> Vec<Process> {
    let mut limiters = Vec::new();
    let Some(node) = node else {
        faults.add(
            file,
            Place { line: 1, column: 1 },
            "limiters",
            "missing; write name: room lines",
        );
        return limiters;
    };
    for (name, place, zone) in members(node, file, "limiters", faults) {
        match text(zone).and_then(|zone| place_of(&zone, zones, "room")) {
            Ok(zone) => limiters.push(Process {
                name: name.clone(),
                zone: zone as u32,
                cell: 0,
            }),
            Err(problem) => faults.add(file, *place, format!("limiters.{name}"), problem),
        }
    }
    limiters
}

pub(crate) fn net(node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) -> NetworkDelays {
    let default = NetworkDelays::default();
    let Some(node) = node else { return default };
    let mut map = Reader::new(file, "net", node, faults);
    let same = map.take("same", faults, quantity::time);
    let cross = map.take("cross", faults, quantity::time);
    let counter = map.take("counter", faults, quantity::time);
    map.end(faults);
    NetworkDelays {
        same_zone: same.unwrap_or(default.same_zone),
        cross_zone: cross.unwrap_or(default.cross_zone),
        counter: counter.unwrap_or(default.counter),
    }
}

/// Facts of the installation: what is so, whatever a day's settings say.
pub(crate) fn facts(
    node: Option<&Node>,
    file: &Arc<str>,
    ground_truth: &mut Settings,
    work: &mut [Nanos],
    faults: &mut Faults,
) {
    let Some(node) = node else { return };
    let mut map = Reader::new(file, "facts", node, faults);
    let set = |value: Option<u64>, to: &mut Nanos| *to = value.unwrap_or(*to);
    set(
        map.take("drain", faults, quantity::time),
        &mut ground_truth.drain_grace,
    );
    if let Some(most) = map.take("attempts", faults, |node| quantity::count(node, 1..=100)) {
        ground_truth.max_attempts = most as u32;
    }
    if let Some(cold) = map.node("cold") {
        let mut cold = Reader::new(file, "facts.cold", cold, faults);
        if let Some(from) = cold.take("from", faults, quantity::share) {
            ground_truth.slow_start_floor = from;
        }
        set(
            cold.take("warm", faults, quantity::time),
            &mut ground_truth.slow_start_duration,
        );
        set(
            cold.take("tip", faults, quantity::time),
            &mut ground_truth.overload_duration,
        );
        if let Some(factor) = cold.take("overload", faults, quantity::number) {
            ground_truth.overload_factor = factor;
        }
        cold.end(faults);
    }
    if let Some(node) = map.node("classes") {
        let names: Vec<String> = ground_truth
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        for (name, place, node) in members(node, file, "facts.classes", faults) {
            let index = match place_of(name, &names, "class") {
                Ok(index) => index,
                Err(problem) => {
                    faults.add(file, *place, format!("facts.classes.{name}"), problem);
                    continue;
                }
            };
            let mut one = Reader::new(file, &format!("facts.classes.{name}"), node, faults);
            let class = &mut ground_truth.classes[index];
            let words = [
                ("safe", (Effect::Retryable, Group::All)),
                ("never", (Effect::Unsafe, Group::Cell)),
                ("dropped by all", (Effect::Keyed, Group::All)),
                ("dropped by the room", (Effect::Keyed, Group::Zone)),
                ("dropped by the cell", (Effect::Keyed, Group::Cell)),
            ];
            if let Some((effect, group)) = one.word("repeats", &words, faults) {
                (class.effect, class.group) = (effect, group);
            }
            set(
                one.take("window", faults, quantity::time),
                &mut class.dedup_window,
            );
            set(one.take("work", faults, quantity::time), &mut work[index]);
            one.end(faults);
        }
    }
    map.end(faults);
}

/// Nodes: a map of names with what differs from a usual node, or a list of the names that are there at all.
pub(crate) fn nodes(
    node: &Node,
    file: &Arc<str>,
    processes: &mut Processes,
    nodes: &mut Vec<HostSetup>,
    faults: &mut Faults,
) {
    if let Content::List(names) = &node.content {
        let mut kept = BTreeSet::new();
        for name in names {
            match text(name).and_then(|name| process(&processes.hosts, &name, "node")) {
                Ok(index) => drop(kept.insert(index)),
                Err(problem) => faults.add(file, name.place, "nodes", problem),
            }
        }
        let keep = |index: usize| kept.contains(&index);
        let hosts = std::mem::take(&mut processes.hosts);
        processes.hosts = hosts
            .into_iter()
            .enumerate()
            .filter(|(i, _)| keep(*i))
            .map(|(_, host)| host)
            .collect();
        let setups = std::mem::take(nodes);
        *nodes = setups
            .into_iter()
            .enumerate()
            .filter(|(i, _)| keep(*i))
            .map(|(_, setup)| setup)
            .collect();
        return;
    }
    for (name, _, node) in members(node, file, "nodes", faults) {
        let index = processes
            .hosts
            .iter()
            .position(|host| host.name == *name)
            .unwrap_or_else(|| {
                processes.hosts.push(Process {
                    name: name.clone(),
                    ..Process::default()
                });
                nodes.push(HostSetup::default());
                processes.hosts.len() - 1
            });
        let mut one = Reader::new(file, &format!("nodes.{name}"), node, faults);
        let zones = processes.zones.clone();
        if let Some(zone) = one.take("room", faults, |node| {
            place_of(&text(node)?, &zones, "room")
        }) {
            processes.hosts[index].zone = zone as u32;
        }
        if let Some(cell) = one.take("cell", faults, |node| quantity::count(node, 0..=1_000_000)) {
            processes.hosts[index].cell = cell as u32;
        }
        let setup = &mut nodes[index];
        let states = [
            ("serving", HostState::Ready),
            ("draining", HostState::Draining),
        ];
        if let Some(state) = one.word("state", &states, faults) {
            setup.state = state;
        }
        if let Some(age) = one.take("age", faults, quantity::time) {
            setup.uptime = Some(age);
        }
        if let Some(cores) = one.take("cores", faults, |node| quantity::count(node, 1..=1024)) {
            setup.cores = cores as u32;
        }
        if let Some(slots) = one.take("slots", faults, |node| quantity::count(node, 0..=1_000_000))
        {
            setup.queue_capacity = slots as usize;
        }
        if let Some(speed) = one.take("speed", faults, quantity::number) {
            if speed > 0.0 {
                setup.speed = speed;
            } else {
                one.fault(
                    "speed",
                    "0; a node that does nothing is one that dies",
                    faults,
                );
            }
        }
        if let Some(weight) = one.take("weight", faults, quantity::number) {
            setup.weight = weight;
        }
        if let Some(absent) = one.take("absent", faults, flag) {
            setup.absent = absent;
        }
        one.end(faults);
    }
}
