//! An expectation in the terms of a day: names become numbers, figures are reckoned from the settings in force, and
//! what comes of it is a scenario for the world and demands on its records.

use crate::file::{Expectation, Suite};
use crate::installation::{self, facts, limiters, names_of, net};
use crate::must::Must;
use quartzcleat_config::reader::list;
use quartzcleat_config::tree::Content;
use quartzcleat_config::{Day, Faults, Reader};
use quartzcleat_decision::api::Nanos;
use quartzcleat_invariants::{InvariantLimits, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterSetup, HostSetup, LimiterSet, Scenario,
};
use std::collections::{BTreeMap, BTreeSet};

/// An expectation in the terms of a day.
#[derive(Clone, Debug)]
pub struct Compiled {
    /// Who plays and what happens.
    pub scenario: Scenario,
    /// What must hold.
    pub musts: Vec<Must>,
    /// The rules' terms, which no setting loosens.
    pub terms: InvariantLimits,
    /// The keys of the settings that its figures name.
    pub names: BTreeSet<String>,
}

/// What is known while an expectation is compiled.
pub(crate) struct Ground<'a> {
    pub(crate) day: &'a Day,
    pub(crate) processes: Processes,
    pub(crate) nodes: Vec<HostSetup>,
    pub(crate) partners: Vec<Partner>,
    pub(crate) names: BTreeSet<String>,
    pub(crate) marks: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Partner {
    pub(crate) plan: u32,
    pub(crate) through: Vec<usize>,
    pub(crate) spread: LimiterSet,
}

/// Unix time at which plays begin: the start of a spring day. Windows are cut by it.
const START: Nanos = 1_775_000_000_000_000_000;
/// A play ends after this where the expectation does not say.
const END: Nanos = 30_000_000_000;
/// More requests than this one expectation does not make: it would be a load test.
pub(crate) const MOST_REQUESTS: usize = 20_000;

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

    let mut processes = Processes {
        zones: names_of(&mut top, "rooms", &mut faults),
        classes: day
            .settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
        ..Processes::default()
    };
    if processes.zones.is_empty() {
        processes.zones.clone_from(&day.rooms);
    }
    processes.limiters = limiters(top.node("limiters"), file, &processes.zones, &mut faults);
    let mut net = net(top.node("net"), file, &mut faults);
    let mut ground_truth = day.settings.clone();
    let mut work = vec![100_000_000; ground_truth.classes.len()];
    facts(
        top.node("facts"),
        file,
        &mut ground_truth,
        &mut work,
        &mut faults,
    );
    let mut nodes = Vec::new();
    if let Some(node) = top.node("nodes") {
        installation::nodes(node, file, &mut processes, &mut nodes, &mut faults);
    }
    if let Some(node) = given.node("nodes") {
        installation::nodes(
            node,
            &expectation.file,
            &mut processes,
            &mut nodes,
            &mut faults,
        );
    }
    if let Some(node) = given.node("net") {
        net = installation::net(Some(node), &expectation.file, &mut faults);
    }
    facts(
        given.node("facts"),
        &expectation.file,
        &mut ground_truth,
        &mut work,
        &mut faults,
    );
    let mut ground = Ground {
        day,
        processes,
        nodes,
        partners: Vec::new(),
        names: BTreeSet::new(),
        marks: BTreeMap::new(),
    };
    for (node, file) in [
        (top.node("partners"), file),
        (given.node("partners"), &expectation.file),
    ] {
        ground.take_partners(node, file, &mut faults);
    }
    top.end(&mut faults);

    let mut scenario = Scenario {
        settings: day.settings.clone(),
        ground_truth,
        processes: Processes::default(),
        hosts: Vec::new(),
        network: net,
        start: START,
        start_offsets: vec![0],
        seeds: vec![1],
        discovery_delays: vec![0],
        counter: CounterSetup::default(),
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work,
        log_deviation: 0.0,
        steps: Vec::new(),
        retry: None,
        max_duration: END,
        variant: None,
    };
    ground.take_given(&mut given, &mut scenario, &mut faults);
    // Read with the days, before anything is compiled.
    given.node("range");
    given.end(&mut faults);
    let when = list(&expectation.when);
    for (index, node) in when.iter().enumerate() {
        ground.step(
            &expectation.file,
            index,
            node,
            &mut scenario.steps,
            &mut faults,
        );
    }
    scenario
        .steps
        .sort_by_key(|step| step.moments.first().copied().unwrap_or(0));
    if scenario.steps.len() > MOST_REQUESTS {
        let problem = format!("{} steps; {MOST_REQUESTS} at most", scenario.steps.len());
        faults.add(&expectation.file, expectation.when.place, "when", problem);
    }
    let mut musts = Vec::new();
    for (index, node) in list(&expectation.must).iter().enumerate() {
        musts.extend(ground.must(&expectation.file, index, node, &mut faults));
    }
    scenario.processes = ground.processes;
    scenario.hosts = ground.nodes;
    let terms = InvariantLimits::from_settings(&scenario.ground_truth, 0);
    faults.or(Compiled {
        scenario,
        musts,
        terms,
        names: ground.names,
    })
}

/// The day with what the expectation gives other values: for other installations.
fn adjusted(day: &Day, given: &mut Reader<'_>, faults: &mut Faults) -> Day {
    let Some(node) = given.node("settings") else {
        return day.clone();
    };
    let mut changes = Vec::new();
    if let Content::Map(members) = &node.content {
        for (key, place, value) in members {
            if quartzcleat_config::platform::key_of(key).is_none() {
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
