//! Compiles an expectation for a deployment: resolves names to indices, evaluates formulas with the deployment's
//! settings, and returns a scenario for the simulation with requirements on its records.

mod aliases;
mod facts;
mod given;
mod installation;
mod reading;
mod requests;
mod requirements;
mod steps;

use crate::requirement::Requirement;
use crate::suite::{Expectation, Suite};
use given::Partner;
use installation::Installation;
use quartzcleat_config::deployment::Change;
use quartzcleat_config::reader::list;
use quartzcleat_config::tree::{Content, Entry};
use quartzcleat_config::{Deployment, Faults, Reader};
use quartzcleat_decision::api::Nanos;
use quartzcleat_invariants::{InvariantLimits, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterSetup, HostSetup, NetworkDelays, Scenario,
};
use std::collections::{BTreeMap, BTreeSet};

/// The Unix time at which runs start, 2026-03-31T23:33:20Z. Quota windows are aligned to it.
const RUN_START: Nanos = 1_775_000_000_000_000_000;
/// The maximum duration of a run if the expectation has no `end`.
const DEFAULT_MAX_DURATION: Nanos = 30_000_000_000;
/// The maximum number of requests of one step, and of requests and events of one expectation. Larger numbers would make
/// it a load test.
pub(crate) const MAX_REQUESTS: usize = 20_000;

/// An expectation, compiled for a deployment.
#[derive(Clone, Debug)]
pub struct CompiledExpectation {
    /// The processes, their settings and the events that the simulation runs.
    pub scenario: Scenario,
    /// The conditions on the records of a run.
    pub requirements: Vec<Requirement>,
    /// The limits of the invariants. They come from the facts, so no setting under test loosens what a fact states.
    pub invariant_limits: InvariantLimits,
    /// The keys of the settings that occur in formulas of the expectation.
    pub setting_keys: BTreeSet<String>,
}

/// The names and values with which an expectation is compiled.
struct Compiler<'a> {
    deployment: &'a Deployment,
    processes: Processes,
    hosts: Vec<HostSetup>,
    partners: Vec<Partner>,
    setting_keys: BTreeSet<String>,
    /// Operation numbers by mark. An operation without a mark has a generated one, such as `#3`.
    operations: BTreeMap<String, u64>,
}

/// Compiles an expectation for a deployment.
///
/// # Errors
/// Returns all faults of the expectation and of its installation.
pub fn compile(
    suite: &Suite,
    expectation: &Expectation,
    deployment: &Deployment,
) -> Result<CompiledExpectation, Faults> {
    let mut faults = Faults::default();
    let installation_file = &suite.installation.file;
    let mut top = Reader::new(installation_file, "", &suite.installation.tree, &mut faults)
        .with_aliases(aliases::INSTALLATION_KEYS);
    let mut given = Reader::new(&expectation.file, "given", &expectation.given, &mut faults)
        .with_aliases(aliases::GIVEN_KEYS);
    let deployment = &with_given_settings(deployment, &mut given, &mut faults);

    let mut installation = Installation::read(&mut top, deployment, &mut faults);
    installation.read_given(&mut given, &mut faults);
    let mut compiler = Compiler {
        deployment,
        processes: installation.processes,
        hosts: installation.hosts,
        partners: Vec::new(),
        setting_keys: BTreeSet::new(),
        operations: BTreeMap::new(),
    };
    compiler.read_partners(top.node("partners"), installation_file, &mut faults);
    compiler.read_partners(given.node("partners"), &expectation.file, &mut faults);
    top.end(&mut faults);

    let mut scenario = default_scenario(deployment);
    scenario.ground_truth = installation.ground_truth;
    scenario.network = installation.network;
    scenario.work = installation.work;
    compiler.read_given(&mut given, &mut scenario, &mut faults);
    // Marks `range` as known: the check reads it earlier, as each of its values is a deployment of its own.
    given.node("range");
    given.end(&mut faults);
    compiler.read_steps(expectation, &mut scenario, &mut faults);
    let requirements = compiler.read_requirements(expectation, &mut faults);
    scenario.processes = compiler.processes;
    scenario.hosts = compiler.hosts;
    let invariant_limits = InvariantLimits::from_settings(&scenario.ground_truth, 0);
    faults.into_result(CompiledExpectation {
        scenario,
        requirements,
        invariant_limits,
        setting_keys: compiler.setting_keys,
    })
}

impl Compiler<'_> {
    fn read_steps(
        &mut self,
        expectation: &Expectation,
        scenario: &mut Scenario,
        faults: &mut Faults,
    ) {
        let file = &expectation.file;
        let steps = &mut scenario.steps;
        for (index, node) in list(&expectation.when).iter().enumerate() {
            self.read_step(file, index, node, steps, faults);
        }
        steps.sort_by_key(|step| step.moments.first().copied().unwrap_or(0));
        if steps.len() > MAX_REQUESTS {
            let problem = format!(
                "{} requests and events; at most {MAX_REQUESTS} are allowed",
                steps.len()
            );
            faults.add(file, expectation.when.place, "when", problem);
        }
    }

    fn read_requirements(
        &mut self,
        expectation: &Expectation,
        faults: &mut Faults,
    ) -> Vec<Requirement> {
        let mut requirements = Vec::new();
        for (index, node) in list(&expectation.must).iter().enumerate() {
            requirements.extend(self.read_requirement(&expectation.file, index, node, faults));
        }
        requirements
    }
}

/// Returns a scenario without processes and steps, in which every choice has a single option.
fn default_scenario(deployment: &Deployment) -> Scenario {
    Scenario {
        settings: deployment.settings.clone(),
        ground_truth: deployment.settings.clone(),
        processes: Processes::default(),
        hosts: Vec::new(),
        network: NetworkDelays::default(),
        start: RUN_START,
        start_offsets: vec![0],
        seeds: vec![1],
        discovery_delays: vec![0],
        counter: CounterSetup::default(),
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work: Vec::new(),
        log_deviation: 0.0,
        steps: Vec::new(),
        retry: None,
        max_duration: DEFAULT_MAX_DURATION,
        variant: None,
    }
}

/// Returns the deployment with the changes that `given.settings` makes. An invalid change leaves it unchanged.
fn with_given_settings(
    deployment: &Deployment,
    given: &mut Reader<'_>,
    faults: &mut Faults,
) -> Deployment {
    let Some(node) = given.node("settings") else {
        return deployment.clone();
    };
    let mut changes = Vec::new();
    if let Content::Map(members) = &node.content {
        for Entry { key, place, value } in members {
            if quartzcleat_config::platform::key_of(key).is_none() {
                faults.add(
                    given.file(),
                    *place,
                    format!("given.settings.{key}"),
                    "unknown key of the deployment's settings",
                );
            }
            changes.push(Change::set(key, value.content.clone()));
        }
    } else {
        given.fault("settings", "not a map of keys and values", faults);
    }
    match deployment.with(&changes) {
        Ok(deployment) => deployment,
        Err(found) => {
            for fault in found.0 {
                faults.add(
                    given.file(),
                    node.place,
                    "given.settings",
                    format!("{}: {}", fault.key, fault.problem),
                );
            }
            deployment.clone()
        }
    }
}
