//! Detection of vacuous requirements, which hold under every variation of their expectation.

use super::tasks::CheckTask;
use super::variation::{scaled_requests, without_step};
use crate::compile::{compile, CompiledExpectation};
use crate::explore::{explore, Budget, Exploration, RequirementCoverage};
use quartzcleat_config::deployment::Change;
use quartzcleat_config::quantity;
use quartzcleat_config::tree::{Content, Node};
use quartzcleat_config::Deployment;
use quartzcleat_decision::api::{PlanIndex, ZoneId};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterCallOutcome, CounterMode, HostSetup, Scenario, ScenarioEvent, Step,
};
use std::collections::BTreeSet;

/// Limits of the exploration of each variation.
const BUDGET: Budget = Budget {
    max_runs: 60,
    max_events: 60_000,
    max_depth: 8,
    seed: 1,
};
/// Maximum number of steps to omit, one per variation.
const MAX_OMITTED_STEPS: usize = 6;
/// Factors for the number of requests.
const REQUEST_FACTORS: [f64; 2] = [4.0, 0.4];
/// Factors for the settings that the expectation's formulas name.
const SETTING_FACTORS: [f64; 2] = [0.5, 2.0];
/// Factors for the quotas of the plans that the expectation's requests use.
const QUOTA_FACTORS: [f64; 2] = [0.25, 16.0];
/// The keys of a plan's quota.
const QUOTA_KEYS: [&str; 2] = ["refill", "peakUnits"];
/// Relative difference up to which a value counts as unchanged.
const RELATIVE_TOLERANCE: f64 = 0.02;

/// Returns a note for each requirement that holds under every variation of the expectation.
pub(super) fn vacuous_requirements(
    task: &CheckTask,
    compiled: &CompiledExpectation,
    exploration: &Exploration,
) -> Vec<String> {
    let mut is_sensitive = vec![false; compiled.requirements.len()];
    for variation in variations(task, compiled) {
        let varied = explore(&variation, &BUDGET);
        for (index, is_sensitive) in is_sensitive.iter_mut().enumerate() {
            *is_sensitive |= is_affected(index, exploration.coverage[index], &varied);
        }
        if is_sensitive.iter().all(|is_sensitive| *is_sensitive) {
            return Vec::new();
        }
    }
    compiled
        .requirements
        .iter()
        .zip(&is_sensitive)
        .filter(|(_, is_sensitive)| !**is_sensitive)
        .map(|(requirement, _)| {
            format!(
                "line {}: holds under every variation of the expectation",
                requirement.line
            )
        })
        .collect()
}

/// Returns whether a variation affects a requirement: it fails, is not exercised or has another value.
fn is_affected(index: usize, original: RequirementCoverage, varied: &Exploration) -> bool {
    // A violated invariant is no evidence about the requirement.
    let has_failed = varied
        .failure
        .as_ref()
        .is_some_and(|failure| failure.requirement == Some(index));
    let coverage = varied.coverage.get(index).copied().unwrap_or_default();
    // The value of a `never` requirement is 0 while it holds, so it does not differ.
    let difference = (coverage.largest_value - original.largest_value).abs();
    has_failed
        || coverage.exercised == 0
        || difference > RELATIVE_TOLERANCE * original.largest_value.abs()
}

/// Returns variations of the expectation: fewer events, more and fewer requests, other outcomes, environments and
/// settings.
fn variations(task: &CheckTask, compiled: &CompiledExpectation) -> Vec<CompiledExpectation> {
    let is_request = |step: &Step| matches!(step.event, ScenarioEvent::Request(_));
    let steps = compiled.scenario.steps.iter().enumerate();
    let mut variations: Vec<CompiledExpectation> = steps
        .filter(|(_, step)| !is_request(step))
        .take(MAX_OMITTED_STEPS)
        .map(|(index, _)| without_step(compiled, index))
        .collect();
    variations.extend(REQUEST_FACTORS.map(|factor| scaled_requests(compiled, factor)));
    variations.extend(other_attempt_outcomes(compiled));
    variations.extend(other_environments(compiled));
    variations.extend(other_settings(task, compiled));
    variations
}

fn varied(
    compiled: &CompiledExpectation,
    change: impl FnOnce(&mut Scenario),
) -> CompiledExpectation {
    let mut variation = compiled.clone();
    change(&mut variation.scenario);
    variation
}

fn other_attempt_outcomes(compiled: &CompiledExpectation) -> Vec<CompiledExpectation> {
    let outcomes = [
        AttemptOutcome::ResetAfterExecution,
        AttemptOutcome::Normal,
        AttemptOutcome::RequestLost,
    ];
    outcomes
        .into_iter()
        .filter(|outcome| compiled.scenario.attempt_outcomes != [*outcome])
        .map(|outcome| {
            varied(compiled, |scenario| {
                scenario.attempt_outcomes = vec![outcome];
            })
        })
        .collect()
}

/// Returns variations of the environment: hosts, counter, retries, deduplication and zones.
fn other_environments(compiled: &CompiledExpectation) -> Vec<CompiledExpectation> {
    let each_host = |change: fn(&mut HostSetup)| {
        varied(compiled, |scenario| {
            scenario.hosts.iter_mut().for_each(change);
        })
    };
    let with = |change: fn(&mut Scenario)| varied(compiled, change);
    vec![
        each_host(|host| host.absent = true),
        each_host(|host| host.speed *= 0.03),
        each_host(|host| host.uptime = None),
        each_host(|host| host.uptime = Some(0)),
        with(|scenario| scenario.counter.mode = CounterMode::Silent),
        with(|scenario| scenario.counter.call_outcomes = vec![CounterCallOutcome::RequestLost]),
        with(|scenario| scenario.settings.attempts.max_per_request = 1),
        with(|scenario| scenario.settings.attempts.max_per_request = 12),
        with(|scenario| scenario.settings.backoff.sends_retry_after = false),
        with(|scenario| scenario.settings.backoff.longest_retry_after *= 20),
        with(|scenario| {
            for class in &mut scenario.ground_truth.classes {
                class.dedup_window = 1;
            }
        }),
        with(|scenario| {
            for host in &mut scenario.processes.hosts {
                host.zone.0 += 1;
            }
        }),
        with(|scenario| {
            for host in &mut scenario.processes.hosts {
                host.zone = ZoneId(0);
            }
        }),
    ]
}

/// Returns the expectation compiled for other values of the settings that it names and of the quotas that it uses.
fn other_settings(task: &CheckTask, compiled: &CompiledExpectation) -> Vec<CompiledExpectation> {
    let deployment = &task.deployment;
    let mut changes: Vec<Vec<Change>> = Vec::new();
    for key in &compiled.setting_keys {
        let single = |factor| Some(vec![scaled(deployment, key, factor)?]);
        changes.extend(SETTING_FACTORS.into_iter().filter_map(single));
    }
    for plan in plans_of(compiled) {
        for factor in QUOTA_FACTORS {
            let quota = QUOTA_KEYS
                .map(|key| scaled(deployment, &format!("contracts.{plan}.{key}"), factor));
            changes.push(quota.into_iter().flatten().collect());
        }
    }
    changes
        .iter()
        .filter_map(|changes| {
            let changed = deployment.with(changes).ok()?;
            compile(&task.suite, &task.expectation, &changed).ok()
        })
        .collect()
}

fn plans_of(compiled: &CompiledExpectation) -> BTreeSet<PlanIndex> {
    let steps = compiled.scenario.steps.iter();
    steps
        .filter_map(|step| match &step.event {
            ScenarioEvent::Request(request) => Some(request.plan),
            _ => None,
        })
        .collect()
}

/// Returns the change that multiplies a key's value, or `None` if the key is not set. Whole numbers stay whole.
fn scaled(deployment: &Deployment, key: &str, factor: f64) -> Option<Change> {
    let present = numeric_value(deployment.tree.at(key)?);
    let scaled = present * factor;
    let value = if present.fract() == 0.0 {
        scaled.round()
    } else {
        scaled
    };
    Some(Change::set(key, Content::Number(value)))
}

fn numeric_value(node: &Node) -> f64 {
    match node.content {
        Content::Number(value) => value,
        _ => quantity::duration(node).map_or(0.0, |nanos| nanos as f64),
    }
}
