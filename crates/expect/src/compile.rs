//! An expectation in the terms of a day: names become numbers, figures are reckoned from the settings in force, and
//! what comes of it is a scenario for the world and demands on its records.

use crate::file::{Expectation, Suite};
use crate::must::{Bounds, Demand, Event, Filter, Must, Sum};
use quartzcleat_decision::api::{Effect, Group, HostState, Nanos, Settings};
use quartzcleat_rules::{record::Player, Cast, Terms};
use quartzcleat_settings::fault::nearest;
use quartzcleat_settings::reader::{flag, list, one_of, text};
use quartzcleat_settings::tree::{Content, Node, Place};
use quartzcleat_settings::{figure, quantity, Day, Faults, Reader};
use quartzcleat_world::scenario::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An expectation in the terms of a day.
#[derive(Clone, Debug)]
pub struct Compiled {
    /// Who plays and what happens.
    pub scenario: Scenario,
    /// What must hold.
    pub musts: Vec<Must>,
    /// The rules' terms, which no setting loosens.
    pub terms: Terms,
    /// The keys of the settings that its figures name.
    pub names: BTreeSet<String>,
}

/// Something about an expectation that is varied, to see whether its verdict depends on it.
#[derive(Clone, Debug, PartialEq)]
pub enum Vary {
    /// As written.
    Nothing,
    /// Without this step.
    Without(usize),
    /// With so many times the requests.
    Requests(f64),
}

struct Ground<'a> {
    day: &'a Day,
    cast: Cast,
    nodes: Vec<NodeSetup>,
    partners: Vec<Partner>,
    names: BTreeSet<String>,
    marks: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Partner {
    plan: u32,
    through: Vec<usize>,
    spread: (u32, u32),
}

/// Unix time at which plays begin: the start of a spring day. Windows are cut by it.
const START: Nanos = 1_775_000_000_000_000_000;
/// A play ends after this where the expectation does not say.
const END: Nanos = 30_000_000_000;
/// More requests than this one expectation does not make: it would be a load test.
const MOST_REQUESTS: usize = 20_000;

/// Sets an expectation in the terms of a day.
///
/// # Errors
/// All that is wrong with it.
pub fn compile(suite: &Suite, expectation: &Expectation, day: &Day) -> Result<Compiled, Faults> {
    let mut faults = Faults::default();
    let (file, base) = &suite.installation;
    let mut top = Reader::new(file, "", base, &mut faults);
    let mut given = Reader::new(&expectation.file, "given", &expectation.given, &mut faults);
    let day = &adjusted(day, &mut given, &mut faults);

    let mut cast = Cast {
        rooms: names_of(&mut top, "rooms", &mut faults),
        classes: day.settings.classes.iter().map(|class| class.name.clone()).collect(),
        ..Cast::default()
    };
    if cast.rooms.is_empty() {
        cast.rooms.clone_from(&day.rooms);
    }
    cast.limiters = limiters(top.node("limiters"), file, &cast.rooms, &mut faults);
    let mut net = net(top.node("net"), file, &mut faults);
    let mut truth = day.settings.clone();
    let mut work = vec![100_000_000; truth.classes.len()];
    facts(top.node("facts"), file, &mut truth, &mut work, &mut faults);
    let mut nodes = Vec::new();
    if let Some(node) = top.node("nodes") {
        self::nodes(node, file, &mut cast, &mut nodes, &mut faults);
    }
    if let Some(node) = given.node("nodes") {
        self::nodes(node, &expectation.file, &mut cast, &mut nodes, &mut faults);
    }
    if let Some(node) = given.node("net") {
        net = self::net(Some(node), &expectation.file, &mut faults);
    }
    facts(given.node("facts"), &expectation.file, &mut truth, &mut work, &mut faults);
    let mut ground =
        Ground { day, cast, nodes, partners: Vec::new(), names: BTreeSet::new(), marks: BTreeMap::new() };
    for (node, file) in [(top.node("partners"), file), (given.node("partners"), &expectation.file)] {
        ground.take_partners(node, file, &mut faults);
    }
    top.end(&mut faults);

    let mut scenario = Scenario {
        settings: day.settings.clone(),
        truth,
        cast: Cast::default(),
        nodes: Vec::new(),
        net,
        start: START,
        phases: vec![0],
        seeds: vec![1],
        lags: vec![0],
        counter: CounterSetup::default(),
        fates: vec![Fate::Normal],
        work,
        spread: 0.0,
        steps: Vec::new(),
        retry: None,
        end: END,
        variant: None,
    };
    ground.take_given(&mut given, &mut scenario, &mut faults);
    // Read with the days, before anything is compiled.
    given.node("range");
    given.end(&mut faults);
    let when = list(&expectation.when);
    for (index, node) in when.iter().enumerate() {
        ground.step(&expectation.file, index, node, &mut scenario.steps, &mut faults);
    }
    scenario.steps.sort_by_key(|step| step.at.first().copied().unwrap_or(0));
    if scenario.steps.len() > MOST_REQUESTS {
        let problem = format!("{} steps; {MOST_REQUESTS} at most", scenario.steps.len());
        faults.add(&expectation.file, expectation.when.place, "when", problem);
    }
    let mut musts = Vec::new();
    for (index, node) in list(&expectation.must).iter().enumerate() {
        musts.extend(ground.must(&expectation.file, index, node, &mut faults));
    }
    scenario.cast = ground.cast;
    scenario.nodes = ground.nodes;
    let terms = Terms::of(&scenario.truth, 0);
    faults.or(Compiled { scenario, musts, terms, names: ground.names })
}

/// The day with what the expectation gives other values: for other installations.
fn adjusted(day: &Day, given: &mut Reader<'_>, faults: &mut Faults) -> Day {
    let Some(node) = given.node("settings") else { return day.clone() };
    let mut changes = Vec::new();
    if let Content::Map(members) = &node.content {
        for (key, place, value) in members {
            if quartzcleat_settings::platform::key_of(key).is_none() {
                faults.add(
                    given.file(),
                    *place,
                    format!("given.settings.{key}"),
                    "no key of a day's settings",
                );
            }
            changes.push((key.clone(), Some(value.content.clone())));
        }
    } else {
        given.fault("settings", "not a map of keys and values", faults);
    }
    match day.with(&changes) {
        Ok(day) => day,
        Err(found) => {
            for fault in found.0 {
                faults.add(
                    given.file(),
                    node.place,
                    "given.settings",
                    format!("{}: {}", fault.key, fault.problem),
                );
            }
            day.clone()
        }
    }
}

fn names_of(reader: &mut Reader<'_>, key: &'static str, faults: &mut Faults) -> Vec<String> {
    let Some(node) = reader.node(key) else { return Vec::new() };
    let mut names = Vec::new();
    for member in list(node) {
        match member.text() {
            Some(name) => names.push(name),
            None => reader.fault(key, "not a list of names", faults),
        }
    }
    names
}

fn members<'a>(
    node: &'a Node, file: &Arc<str>, key: &str, faults: &mut Faults,
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

fn place_of(name: &str, names: &[String], what: &str) -> Result<usize, String> {
    names.iter().position(|known| known == name).ok_or_else(|| {
        match nearest(name, names.iter().map(String::as_str)) {
            Some(near) => format!("no {what} {name:?}; did you mean {near}?"),
            None => format!("no {what} {name:?}; known: {}", names.join(", ")),
        }
    })
}

fn player(players: &[Player], name: &str, what: &str) -> Result<usize, String> {
    let names: Vec<String> = players.iter().map(|player| player.name.clone()).collect();
    place_of(name, &names, what)
}

fn limiters(node: Option<&Node>, file: &Arc<str>, rooms: &[String], faults: &mut Faults) -> Vec<Player> {
    let mut limiters = Vec::new();
    let Some(node) = node else {
        faults.add(file, Place { line: 1, column: 1 }, "limiters", "missing; write name: room lines");
        return limiters;
    };
    for (name, place, room) in members(node, file, "limiters", faults) {
        match text(room).and_then(|room| place_of(&room, rooms, "room")) {
            Ok(room) => limiters.push(Player { name: name.clone(), room: room as u32, cell: 0 }),
            Err(problem) => faults.add(file, *place, format!("limiters.{name}"), problem),
        }
    }
    limiters
}

fn net(node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) -> Net {
    let default = Net::default();
    let Some(node) = node else { return default };
    let mut map = Reader::new(file, "net", node, faults);
    let same = map.take("same", faults, quantity::time);
    let cross = map.take("cross", faults, quantity::time);
    let counter = map.take("counter", faults, quantity::time);
    map.end(faults);
    Net {
        same: same.unwrap_or(default.same),
        cross: cross.unwrap_or(default.cross),
        counter: counter.unwrap_or(default.counter),
    }
}

/// Facts of the installation: what is so, whatever a day's settings say.
fn facts(
    node: Option<&Node>, file: &Arc<str>, truth: &mut Settings, work: &mut [Nanos], faults: &mut Faults,
) {
    let Some(node) = node else { return };
    let mut map = Reader::new(file, "facts", node, faults);
    let set = |value: Option<u64>, to: &mut Nanos| *to = value.unwrap_or(*to);
    set(map.take("drain", faults, quantity::time), &mut truth.drain_grace);
    if let Some(most) = map.take("attempts", faults, |node| quantity::count(node, 1..=100)) {
        truth.max_attempts = most as u32;
    }
    if let Some(cold) = map.node("cold") {
        let mut cold = Reader::new(file, "facts.cold", cold, faults);
        if let Some(from) = cold.take("from", faults, quantity::share) {
            truth.cold_from = from;
        }
        set(cold.take("warm", faults, quantity::time), &mut truth.warm_after);
        set(cold.take("tip", faults, quantity::time), &mut truth.tip_after);
        if let Some(factor) = cold.take("overload", faults, quantity::number) {
            truth.overload_factor = factor;
        }
        cold.end(faults);
    }
    if let Some(node) = map.node("classes") {
        let names: Vec<String> = truth.classes.iter().map(|class| class.name.clone()).collect();
        for (name, place, node) in members(node, file, "facts.classes", faults) {
            let index = match place_of(name, &names, "class") {
                Ok(index) => index,
                Err(problem) => {
                    faults.add(file, *place, format!("facts.classes.{name}"), problem);
                    continue;
                }
            };
            let mut one = Reader::new(file, &format!("facts.classes.{name}"), node, faults);
            let class = &mut truth.classes[index];
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
            set(one.take("window", faults, quantity::time), &mut class.dedup_window);
            set(one.take("work", faults, quantity::time), &mut work[index]);
            one.end(faults);
        }
    }
    map.end(faults);
}

/// Nodes: a map of names with what differs from a usual node, or a list of the names that are there at all.
fn nodes(node: &Node, file: &Arc<str>, cast: &mut Cast, nodes: &mut Vec<NodeSetup>, faults: &mut Faults) {
    if let Content::List(names) = &node.content {
        let mut kept = BTreeSet::new();
        for name in names {
            match text(name).and_then(|name| player(&cast.hosts, &name, "node")) {
                Ok(index) => drop(kept.insert(index)),
                Err(problem) => faults.add(file, name.place, "nodes", problem),
            }
        }
        let keep = |index: usize| kept.contains(&index);
        let hosts = std::mem::take(&mut cast.hosts);
        cast.hosts = hosts.into_iter().enumerate().filter(|(i, _)| keep(*i)).map(|(_, host)| host).collect();
        let setups = std::mem::take(nodes);
        *nodes = setups.into_iter().enumerate().filter(|(i, _)| keep(*i)).map(|(_, setup)| setup).collect();
        return;
    }
    for (name, _, node) in members(node, file, "nodes", faults) {
        let index = cast.hosts.iter().position(|host| host.name == *name).unwrap_or_else(|| {
            cast.hosts.push(Player { name: name.clone(), ..Player::default() });
            nodes.push(NodeSetup::default());
            cast.hosts.len() - 1
        });
        let mut one = Reader::new(file, &format!("nodes.{name}"), node, faults);
        let rooms = cast.rooms.clone();
        if let Some(room) = one.take("room", faults, |node| place_of(&text(node)?, &rooms, "room")) {
            cast.hosts[index].room = room as u32;
        }
        if let Some(cell) = one.take("cell", faults, |node| quantity::count(node, 0..=1_000_000)) {
            cast.hosts[index].cell = cell as u32;
        }
        let setup = &mut nodes[index];
        let states = [("serving", HostState::Ready), ("draining", HostState::Draining)];
        if let Some(state) = one.word("state", &states, faults) {
            setup.state = state;
        }
        if let Some(age) = one.take("age", faults, quantity::time) {
            setup.age = Some(age);
        }
        if let Some(cores) = one.take("cores", faults, |node| quantity::count(node, 1..=1024)) {
            setup.cores = cores as u32;
        }
        if let Some(slots) = one.take("slots", faults, |node| quantity::count(node, 0..=1_000_000)) {
            setup.slots = slots as usize;
        }
        if let Some(speed) = one.take("speed", faults, quantity::number) {
            if speed > 0.0 {
                setup.speed = speed;
            } else {
                one.fault("speed", "0; a node that does nothing is one that dies", faults);
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

const FATES: [(&str, Fate); 9] = [
    ("normal", Fate::Normal),
    ("error", Fate::Error),
    ("busy", Fate::Busy),
    ("refused", Fate::Refused),
    ("reset after it ran", Fate::ResetRan),
    ("reset before it ran", Fate::ResetLost),
    ("silent after it ran", Fate::SilentRan),
    ("silent", Fate::SilentLost),
    ("late", Fate::Late),
];

const CALL_FATES: [(&str, CallFate); 4] = [
    ("normal", CallFate::Normal),
    ("lost", CallFate::Lost),
    ("answer lost", CallFate::AnswerLost),
    ("refused", CallFate::Refused),
];

impl Ground<'_> {
    fn take_partners(&mut self, node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) {
        let Some(node) = node else { return };
        let plans: Vec<String> = self.day.settings.plans.iter().map(|plan| plan.name.clone()).collect();
        for (name, place, node) in members(node, file, "partners", faults) {
            let mut one = Reader::new(file, &format!("partners.{name}"), node, faults);
            let plan = one.need("plan", faults, |node| place_of(&text(node)?, &plans, "plan"));
            let players = self.cast.limiters.clone();
            let through = one.take("through", faults, |node| {
                let find = |node: &Node| player(&players, &text(node)?, "limiter");
                list(node).iter().map(find).collect::<Result<Vec<_>, _>>()
            });
            one.end(faults);
            let through = through.unwrap_or_else(|| (0..players.len()).collect());
            let in_turn = |pair: &[usize]| pair[1] == (pair[0] + 1) % players.len().max(1);
            if through.is_empty() || !through.windows(2).all(in_turn) {
                let problem =
                    "limiters that do not follow one another; a partner's set goes round from its first";
                faults.add(file, *place, format!("partners.{name}.through"), problem);
                continue;
            }
            let partner = Partner {
                plan: plan.unwrap_or(0) as u32,
                spread: (through.len() as u32, through[0] as u32),
                through,
            };
            match self.cast.partners.iter().position(|known| known == name) {
                Some(index) => self.partners[index] = partner,
                None => {
                    self.cast.partners.push(name.clone());
                    self.partners.push(partner);
                }
            }
        }
    }

    fn time(&mut self, node: &Node) -> Result<Nanos, String> {
        let (value, names) = figure::time(node, &|name| self.day.look(name))?;
        self.names.extend(names);
        Ok(value)
    }

    fn times(&mut self, node: &Node) -> Result<Vec<Nanos>, String> {
        let times: Vec<_> = list(node).iter().map(|node| self.time(node)).collect::<Result<_, _>>()?;
        if times.is_empty() {
            return Err("no time; write one, or a list".to_owned());
        }
        Ok(times)
    }

    fn number(&mut self, node: &Node) -> Result<f64, String> {
        let (value, names) = figure::number(node, &|name| self.day.look(name))?;
        self.names.extend(names);
        Ok(value)
    }

    fn take_given(&mut self, given: &mut Reader<'_>, scenario: &mut Scenario, faults: &mut Faults) {
        let file = given.file().clone();
        if let Some(node) = given.node("counter") {
            self.counter(&file, node, &mut scenario.counter, faults);
        }
        if let Some(lags) = given.take("discovery", faults, |node| self.times(node)) {
            scenario.lags = lags;
        }
        if let Some(fates) = given.take("attempts", faults, |node| words(node, &FATES)) {
            scenario.fates = fates;
        }
        if let Some(seeds) = given.take("seeds", faults, |node| quantity::count(node, 1..=10_000)) {
            scenario.seeds = (1..=seeds).collect();
        }
        if let Some(phases) = given.take("phase", faults, |node| self.times(node)) {
            scenario.phases = phases;
        }
        if let Some(spread) = given.take("spread", faults, quantity::share) {
            scenario.spread = spread;
        }
        if let Some(end) = given.take("end", faults, |node| self.time(node)) {
            scenario.end = end;
        }
        if let Some(node) = given.node("retry") {
            let mut map = Reader::new(&file, "given.retry", node, faults);
            let after = map.take("after", faults, |node| self.time(node));
            let elsewhere = map.take("elsewhere", faults, flag);
            map.end(faults);
            let (after, elsewhere) = (after.unwrap_or(200_000_000), elsewhere.unwrap_or(true));
            scenario.retry = Some(Retry { after, elsewhere });
        }
    }

    fn counter(&mut self, file: &Arc<str>, node: &Node, setup: &mut CounterSetup, faults: &mut Faults) {
        if let Content::Text(_) = node.content {
            match mode(node) {
                Ok(mode) => setup.mode = mode,
                Err(problem) => faults.add(file, node.place, "given.counter", problem),
            }
            return;
        }
        let mut map = Reader::new(file, "given.counter", node, faults);
        if let Some(mode) = map.take("is", faults, mode) {
            setup.mode = mode;
        }
        if let Some(fates) = map.take("calls", faults, |node| words(node, &CALL_FATES)) {
            setup.fates = fates;
        }
        if let Some(service) = map.take("call", faults, quantity::time) {
            setup.service = service;
        }
        if let Some(parts) = map.take("parts", faults, |node| quantity::count(node, 1..=64)) {
            setup.parts = parts as u32;
        }
        map.end(faults);
    }

    fn mark(&mut self, name: &str) -> u64 {
        let next = self.marks.len() as u64 + 1;
        *self.marks.entry(name.to_owned()).or_insert(next)
    }

    fn step(
        &mut self, file: &Arc<str>, index: usize, node: &Node, steps: &mut Vec<Step>, faults: &mut Faults,
    ) {
        let path = format!("when.{index}");
        let mut map = Reader::new(file, &path, node, faults);
        let at = map.take("at", faults, |node| self.times(node)).unwrap_or_else(|| vec![0]);
        let free = map.take("order", faults, |node| match text(node)?.as_str() {
            "free" => Ok(0),
            _ => quantity::count(node, 1..=100).map(|n| n as u32),
        });
        let mut push = |at: Vec<Nanos>, what: Happening| steps.push(Step { at, what, free });
        let host = |ground: &Self, node: &Node| player(&ground.cast.hosts, &text(node)?, "node");
        let limiter = |ground: &Self, node: &Node| player(&ground.cast.limiters, &text(node)?, "limiter");
        let kinds = [
            "request",
            "retry",
            "drain",
            "die",
            "vanish",
            "start",
            "replace",
            "slow",
            "counter",
            "discovery",
            "stop",
            "restart",
        ];
        let found: Vec<&str> = kinds.into_iter().filter(|kind| node.get(kind).is_some()).collect();
        let [kind] = found.as_slice() else {
            let problem = if found.is_empty() {
                format!("nothing happens here; one of {}", kinds.join(", "))
            } else {
                format!("{} at once; write a step for each", found.join(" and "))
            };
            faults.add(file, node.place, path, problem);
            return;
        };
        match *kind {
            "request" | "retry" => {
                let asks = self.asks(&mut map, *kind == "retry", faults);
                for (offset, ask) in asks {
                    push(at.iter().map(|at| at + offset).collect(), Happening::Ask(ask));
                }
            }
            "drain" => {
                if let Some(node) = map.take("drain", faults, |node| host(self, node)) {
                    push(at, Happening::Drain(node));
                }
            }
            "die" => {
                if let Some(node) = map.take("die", faults, |node| host(self, node)) {
                    push(at, Happening::Die(node));
                }
            }
            "vanish" => {
                if let Some(node) = map.take("vanish", faults, |node| host(self, node)) {
                    push(at, Happening::Vanish(node));
                }
            }
            "start" => {
                if let Some(node) = map.take("start", faults, |node| host(self, node)) {
                    push(at, Happening::Start(node));
                }
            }
            "replace" => {
                let old = map.take("replace", faults, |node| host(self, node));
                let new = map.need("by", faults, |node| host(self, node));
                if let (Some(old), Some(new)) = (old, new) {
                    if self.nodes[new].absent && old != new {
                        push(at, Happening::Replace(old, new));
                    } else {
                        map.fault("by", "is there already; give it absent: true", faults);
                    }
                }
            }
            "slow" => {
                let node = map.take("slow", faults, |node| host(self, node));
                let to = map.need("to", faults, quantity::number);
                if let (Some(node), Some(to)) = (node, to) {
                    push(at, Happening::Speed(node, to));
                }
            }
            "counter" => {
                let what = map.take("counter", faults, |node| match text(node)?.as_str() {
                    "empty" => Ok(Happening::Empty),
                    _ => mode(node).map(Happening::Counter),
                });
                if let Some(what) = what {
                    push(at, what);
                }
            }
            "discovery" => {
                let words = [("silent", false), ("tells", true)];
                if let Some(on) = map.word("discovery", &words, faults) {
                    push(at, Happening::Discovery(on));
                }
            }
            "stop" => {
                if let Some(number) = map.take("stop", faults, |node| limiter(self, node)) {
                    push(at, Happening::LimiterDies(number));
                }
            }
            _ => {
                if let Some(number) = map.take("restart", faults, |node| limiter(self, node)) {
                    push(at, Happening::LimiterStarts(number));
                }
            }
        }
        map.end(faults);
    }

    /// The requests of one step, with how long after it each comes.
    fn asks(&mut self, map: &mut Reader<'_>, retry: bool, faults: &mut Faults) -> Vec<(Nanos, Ask)> {
        let key = if retry { "retry" } else { "request" };
        let name = map.take(key, faults, text);
        let classes = self.cast.classes.clone();
        let class = if retry {
            map.need("class", faults, |node| place_of(&text(node)?, &classes, "class"))
        } else {
            map.take("request", faults, |node| place_of(&text(node)?, &classes, "class"))
        };
        let partners = self.cast.partners.clone();
        let from = map.need("from", faults, |node| {
            list(node)
                .iter()
                .map(|node| place_of(&text(node)?, &partners, "partner"))
                .collect::<Result<Vec<_>, _>>()
        });
        let limiters = self.cast.limiters.clone();
        let through = map.take("through", faults, |node| {
            list(node)
                .iter()
                .map(|node| player(&limiters, &text(node)?, "limiter"))
                .collect::<Result<Vec<_>, _>>()
        });
        let top = if self.day.settings.largest_request > 0.0 {
            self.day.settings.largest_request
        } else {
            f64::MAX
        };
        let units = map.take("units", faults, |node| {
            let units: Vec<f64> =
                list(node).iter().map(|node| self.number(node)).collect::<Result<_, _>>()?;
            match units.iter().find(|units| !(**units > 0.0 && **units <= top)) {
                Some(wrong) => Err(format!("{wrong} is not above 0 and up to {top} (familyInfo.unitsTop)")),
                None => Ok(units),
            }
        });
        let count = map.take("count", faults, |node| {
            let count = self.number(node)?.ceil();
            if (1.0..=MOST_REQUESTS as f64).contains(&count) {
                Ok(count as usize)
            } else {
                Err(format!("{count} is not from 1 to {MOST_REQUESTS}"))
            }
        });
        let every = map.take("every", faults, |node| self.time(node)).unwrap_or(0);
        let wait = map.take("wait", faults, |node| self.time(node));
        let mark = map.take("mark", faults, text);
        let count = count.unwrap_or(1);
        if mark.is_some() && count > 1 {
            map.fault("mark", "names one request, and there are several", faults);
        }
        let (Some(class), Some(from)) = (class, from.filter(|from| !from.is_empty())) else {
            return Vec::new();
        };
        let mut asks = Vec::with_capacity(count);
        for number in 0..count {
            let partner = from[number % from.len()];
            let of = &self.partners[partner];
            let (plan, spread) = (of.plan, of.spread);
            let set = of.through.clone();
            let through = match through.as_deref() {
                Some(through) if !through.is_empty() => through[number % through.len()],
                _ => set[number % set.len()],
            };
            if !set.contains(&through) {
                let problem =
                    format!("{} is not of {}'s set", self.cast.limiter(through), self.cast.partners[partner]);
                map.fault("through", problem, faults);
                return Vec::new();
            }
            let mark = match (retry, &name, &mark) {
                (true, Some(name), _) => match self.marks.get(name) {
                    Some(mark) => *mark,
                    None => {
                        map.fault("retry", format!("no request before it is marked {name:?}"), faults);
                        return Vec::new();
                    }
                },
                (false, _, Some(mark)) => self.mark(mark),
                _ => {
                    let next = self.marks.len();
                    self.mark(&format!("#{next}"))
                }
            };
            let deadline = self.day.settings.classes[class].deadline;
            let wait = wait.unwrap_or(deadline).min(deadline);
            let units = units.as_deref().map_or(1.0, |units| units[number % units.len()]);
            asks.push((
                every * number as u64,
                Ask { mark, class, partner, plan, units, through, spread, wait, retry },
            ));
        }
        asks
    }

    fn must(&mut self, file: &Arc<str>, index: usize, node: &Node, faults: &mut Faults) -> Option<Must> {
        let path = format!("must.{index}");
        let mut map = Reader::new(file, &path, node, faults);
        let mut filter = Filter::default();
        let classes = self.cast.classes.clone();
        filter.class = map.take("class", faults, |node| place_of(&text(node)?, &classes, "class"));
        let partners = self.cast.partners.clone();
        filter.partners = map.take("from", faults, |node| {
            list(node).iter().map(|node| place_of(&text(node)?, &partners, "partner")).collect()
        });
        let limiters = self.cast.limiters.clone();
        filter.through = map.take("through", faults, |node| player(&limiters, &text(node)?, "limiter"));
        let marks = self.marks.clone();
        filter.mark = map.take("mark", faults, |node| {
            let name = text(node)?;
            marks.get(&name).copied().ok_or_else(|| format!("no request is marked {name:?}"))
        });
        filter.after = map.take("after", faults, |node| self.time(node)).unwrap_or(0);
        filter.until = map.take("until", faults, |node| self.time(node));
        filter.retries = map.word("tries", &[("first", false), ("further", true)], faults);
        let kinds = [
            "never",
            "always",
            "attempts",
            "runs",
            "open",
            "units",
            "sent",
            "served",
            "refused",
            "failed",
            "crossings",
            "share",
            "answered",
            "told",
        ];
        let found: Vec<&str> = kinds.into_iter().filter(|kind| node.get(kind).is_some()).collect();
        let [kind] = found.as_slice() else {
            let problem = if found.is_empty() {
                format!("demands nothing; one of {}", kinds.join(", "))
            } else {
                format!("{} at once; write an entry for each", found.join(" and "))
            };
            faults.add(file, node.place, path, problem);
            return None;
        };
        let grace = map.take("within", faults, |node| self.time(node)).unwrap_or(0);
        let demand = match *kind {
            "never" => map.take("never", faults, |node| self.event(&text(node)?, grace)).map(Demand::Never),
            "always" => map
                .take("always", faults, |node| {
                    let event = self.event(&text(node)?, grace)?;
                    match event {
                        Event::ReachesLeaving(..) | Event::SameNodeTwice => {
                            Err("says nothing of every request; use never".to_owned())
                        }
                        event => Ok(event),
                    }
                })
                .map(Demand::Always),
            "answered" => map.take("answered", faults, |node| self.time(node)).map(Demand::Within),
            "told" => {
                let bounds =
                    map.node("told").map(|node| self.bounds(file, &path, "told", node, true, faults));
                bounds.map(|(bounds, _)| Demand::Told(bounds))
            }
            kind => {
                let node = map.node(kind_name(kind));
                let sum = match kind {
                    "attempts" => Sum::Attempts,
                    "runs" => Sum::Runs,
                    "open" => Sum::Open,
                    "units" => Sum::Units,
                    "sent" => Sum::Sent,
                    "served" => Sum::Served,
                    "refused" => Sum::Refused,
                    "failed" => Sum::Failed,
                    "crossings" => Sum::Crossings,
                    _ => Sum::Share(0),
                };
                node.and_then(|node| {
                    let (bounds, of) = self.bounds(file, &path, kind, node, false, faults);
                    match (sum, of) {
                        (Sum::Share(_), Some(host)) => Some(Demand::Figure(Sum::Share(host), bounds)),
                        (Sum::Share(_), None) => {
                            faults.add(file, node.place, format!("{path}.share.of"), "missing; name a node");
                            None
                        }
                        _ => Some(Demand::Figure(sum, bounds)),
                    }
                })
            }
        };
        map.end(faults);
        Some(Must { filter, demand: demand?, line: node.place.line })
    }

    fn event(&self, words: &str, grace: Nanos) -> Result<Event, String> {
        if let Some(name) = words.strip_prefix("reaches node ") {
            return player(&self.cast.hosts, name, "node").map(Event::Reaches);
        }
        one_of(
            words,
            &[
                ("reaches a draining node", 0),
                ("reaches a lost node", 1),
                ("reaches a cold node", 2),
                ("leaves its room", 3),
                ("meets a node twice", 4),
                ("is refused", 5),
                ("is refused untold", 6),
                ("is served", 7),
                ("fails", 8),
            ],
        )
        .map(|number| match number {
            0 => Event::ReachesLeaving(HostState::Draining, grace),
            1 => Event::ReachesLeaving(HostState::Gone, grace),
            2 => Event::ReachesCold,
            3 => Event::LeavesRoom,
            4 => Event::SameNodeTwice,
            5 => Event::Refused,
            6 => Event::RefusedUntold,
            7 => Event::Served,
            _ => Event::Failed,
        })
    }

    /// Bounds from `{at least: ..., at most: ...}` or from one figure, which is the most.
    fn bounds(
        &mut self, file: &Arc<str>, path: &str, kind: &str, node: &Node, time: bool, faults: &mut Faults,
    ) -> (Bounds, Option<usize>) {
        let key = format!("{path}.{kind}");
        let mut part = false;
        let mut value = |ground: &mut Self, node: &Node| -> Result<f64, String> {
            if time {
                return ground.time(node).map(|nanos| nanos as f64);
            }
            if node.text().is_some_and(|text| text.ends_with('%')) {
                part = true;
                return quantity::share(node);
            }
            ground.number(node)
        };
        if !matches!(node.content, Content::Map(_)) {
            let most = match value(self, node) {
                Ok(most) => Some(most),
                Err(problem) => {
                    faults.add(file, node.place, key, problem);
                    None
                }
            };
            return (Bounds { least: None, most, part }, None);
        }
        let mut map = Reader::new(file, &key, node, faults);
        let least = map.take("at least", faults, |node| value(self, node));
        let most = map.take("at most", faults, |node| value(self, node));
        let of = map.take("of", faults, |node| player(&self.cast.hosts, &text(node)?, "node"));
        if least.is_none() && most.is_none() {
            map.fault("at most", "missing, and at least too", faults);
        }
        if least.zip(most).is_some_and(|(least, most)| least > most) {
            map.fault("at least", "more than at most; nothing lies between", faults);
        }
        map.end(faults);
        (Bounds { least, most, part }, of)
    }
}

fn kind_name(kind: &str) -> &'static str {
    ["attempts", "runs", "open", "units", "sent", "served", "refused", "failed", "crossings", "share"]
        .into_iter()
        .find(|name| *name == kind)
        .unwrap_or("share")
}

fn words<T: Copy>(node: &Node, known: &[(&str, T)]) -> Result<Vec<T>, String> {
    let words: Vec<T> =
        list(node).iter().map(|node| one_of(&text(node)?, known)).collect::<Result<_, _>>()?;
    if words.is_empty() {
        return Err("none; write one, or a list".to_owned());
    }
    Ok(words)
}

/// A counter's mode: `normal`, `silent`, `refusing`, `slow 5`.
fn mode(node: &Node) -> Result<CounterMode, String> {
    let word = text(node)?;
    if let Some(factor) = word.strip_prefix("slow ") {
        return match factor.trim().parse::<f64>() {
            Ok(factor) if (1.0..=1e6).contains(&factor) => Ok(CounterMode::Slow(factor)),
            _ => Err(format!("{factor:?} is not a multiple from 1 up")),
        };
    }
    one_of(
        &word,
        &[
            ("normal", CounterMode::Normal),
            ("silent", CounterMode::Silent),
            ("refusing", CounterMode::Refusing),
            ("slow 5", CounterMode::Slow(5.0)),
        ],
    )
}

/// The same expectation with something varied.
pub fn varied(compiled: &Compiled, vary: &Vary) -> Compiled {
    let mut compiled = compiled.clone();
    match vary {
        Vary::Nothing => {}
        Vary::Without(index) => drop(compiled.scenario.steps.remove(*index)),
        Vary::Requests(factor) if *factor >= 1.0 => {
            // Each request is followed by further ones of other errands, a little later.
            let asks: Vec<Step> = compiled.scenario.steps.clone();
            let mut mark = 1_000_000;
            for step in asks {
                let Happening::Ask(ask) = &step.what else { continue };
                for number in 1..*factor as u64 {
                    mark += 1;
                    let ask = Ask { mark, ..ask.clone() };
                    let at = step.at.iter().map(|at| at + number * 1_000_000).collect();
                    compiled.scenario.steps.push(Step { at, what: Happening::Ask(ask), free: None });
                }
            }
            compiled.scenario.steps.sort_by_key(|step| step.at.first().copied().unwrap_or(0));
        }
        Vary::Requests(factor) => {
            let (mut seen, mut kept) = (0.0, 0.0);
            compiled.scenario.steps.retain(|step| {
                if !matches!(step.what, Happening::Ask(_)) {
                    return true;
                }
                seen += 1.0;
                let keep = kept < seen * factor;
                kept += f64::from(u8::from(keep));
                keep
            });
        }
    }
    compiled
}
