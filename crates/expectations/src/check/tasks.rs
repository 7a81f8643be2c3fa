//! The tasks of a check: each selected expectation for each deployment.

use super::options::{Options, SettingRange};
use crate::suite::{self, Expectation, Suite};
use quartzcleat_config::deployment::Change;
use quartzcleat_config::reader::list;
use quartzcleat_config::tree::{Content, Entry, Node, Place};
use quartzcleat_config::{Deployment, Faults};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;

/// Maximum number of deployments that the ranges of one expectation may make.
const MAX_DEPLOYMENTS: usize = 64;

/// One expectation to check for one deployment.
#[derive(Clone, Debug)]
pub struct CheckTask {
    /// The expectation file, with what it gives for all its expectations.
    pub suite: Arc<Suite>,
    /// The expectation to check.
    pub expectation: Expectation,
    /// The deployment, with the values of ranges applied.
    pub deployment: Deployment,
    /// The name of the deployment's settings file, followed by the values of ranges.
    pub label: String,
}

/// One combination of the values of ranges, as changes of a deployment.
#[derive(Clone, Default)]
struct Combination {
    changes: Vec<Change>,
    label: String,
}

impl Combination {
    fn with(&self, name: &str, key: &str, value: f64) -> Self {
        let mut changes = self.changes.clone();
        changes.push(Change::set(key, Content::Number(value)));
        Combination {
            changes,
            label: format!("{} {name}={value}", self.label),
        }
    }
}

/// Reads the settings of a deployment from a file.
///
/// # Errors
/// Returns all faults of the file, or one fault if it cannot be read.
pub fn read_deployment(path: &Path) -> Result<Deployment, Faults> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Deployment::read(&name, &text),
        Err(error) => {
            let mut faults = Faults::default();
            let problem = format!("cannot read: {error}");
            faults.add(&name.into(), Place::default(), "", problem);
            Err(faults)
        }
    }
}

/// Returns a task for each selected expectation and deployment. Faults of files and expectations are added to `faults`.
pub fn plan(options: &Options, faults: &mut Faults) -> Vec<CheckTask> {
    let mut tasks = Vec::new();
    for suite in read_suites(options, faults) {
        let path = options.settings.as_ref().unwrap_or(&suite.settings);
        match read_deployment(path) {
            Ok(deployment) => tasks.extend(plan_suite(&suite, &deployment, options, faults)),
            Err(found) => {
                for fault in found.0 {
                    // Several suites may name the same settings.
                    if !faults.0.contains(&fault) {
                        faults.0.push(fault);
                    }
                }
            }
        }
    }
    tasks
}

fn plan_suite(
    suite: &Arc<Suite>,
    deployment: &Deployment,
    options: &Options,
    faults: &mut Faults,
) -> Vec<CheckTask> {
    let is_selected = |expectation: &&Expectation| {
        let filter = options.name_filter.as_ref();
        filter.is_none_or(|filter| expectation.name.contains(filter.as_str()))
    };
    let mut tasks = Vec::new();
    for expectation in suite.expectations.iter().filter(is_selected) {
        match deployments(expectation, deployment, &options.ranges) {
            Ok(deployments) => {
                let task = |named: NamedDeployment| CheckTask {
                    suite: suite.clone(),
                    expectation: expectation.clone(),
                    deployment: named.deployment,
                    label: named.label,
                };
                tasks.extend(deployments.into_iter().map(task));
            }
            Err(found) => faults.0.extend(found.0),
        }
    }
    tasks
}

fn read_suites(options: &Options, faults: &mut Faults) -> Vec<Arc<Suite>> {
    let files = suite::find(&options.paths);
    if files.is_empty() {
        let paths = options.paths.iter();
        let paths: Vec<String> = paths.map(|path| path.display().to_string()).collect();
        let file = paths.join(", ").into();
        faults.add(&file, Place::default(), "", "no expectation files found");
    }
    let mut suites: Vec<Arc<Suite>> = files
        .iter()
        .filter_map(|path| suite::read(path, faults))
        .map(Arc::new)
        .collect();
    if let Some(name) = &options.deployment {
        select_deployment(&mut suites, name, faults);
    }
    suites
}

/// Keeps only the suites whose settings file has this name without its extension. Adds a fault if there is none.
fn select_deployment(suites: &mut Vec<Arc<Suite>>, name: &str, faults: &mut Faults) {
    let deployment_of = |suite: &Suite| {
        let stem = suite.settings.file_stem();
        stem.map(|stem| stem.to_string_lossy().into_owned())
    };
    let known: BTreeSet<String> = suites
        .iter()
        .filter_map(|suite| deployment_of(suite))
        .collect();
    suites.retain(|suite| deployment_of(suite).as_deref() == Some(name));
    if suites.is_empty() {
        let known: Vec<String> = known.into_iter().collect();
        let known = known.join(", ");
        let problem = format!("no expectations for deployment {name:?}; known: {known}");
        faults.add(&Arc::from(""), Place::default(), "--deployment", problem);
    }
}

/// A deployment and its label: the settings file, followed by the values of ranges.
struct NamedDeployment {
    deployment: Deployment,
    label: String,
}

/// The deployments that ranges make of one: those of the options and the expectation's own.
fn deployments(
    expectation: &Expectation,
    deployment: &Deployment,
    ranges: &[SettingRange],
) -> Result<Vec<NamedDeployment>, Faults> {
    let mut faults = Faults::default();
    let mut ranges = ranges.to_vec();
    ranges.extend(own_ranges(expectation, &mut faults));
    let combinations = combine(expectation, deployment, &ranges, &mut faults)?;
    let mut deployments = Vec::new();
    for combination in combinations {
        match deployment.with(&combination.changes) {
            Ok(changed) => deployments.push(NamedDeployment {
                deployment: changed,
                label: format!("{}{}", deployment.file, combination.label),
            }),
            Err(found) => faults.0.extend(found.0),
        }
    }
    faults.into_result(deployments)
}

/// Returns the ranges that an expectation gives.
fn own_ranges(expectation: &Expectation, faults: &mut Faults) -> Vec<SettingRange> {
    let range = expectation.given.get("range").map(|node| &node.content);
    let Some(Content::Map(members)) = range else {
        return Vec::new();
    };
    let mut ranges = Vec::new();
    for Entry {
        key: name,
        place,
        value: node,
    } in members
    {
        if let Some(values) = range_values(node) {
            ranges.push(SettingRange {
                name: name.clone(),
                values,
            });
        } else {
            let key = format!("given.range.{name}");
            faults.add(
                &expectation.file,
                *place,
                key,
                "expected a non-empty list of numbers",
            );
        }
    }
    ranges
}

/// Returns the numbers of a list, or `None` if it is empty or has another kind of member.
fn range_values(node: &Node) -> Option<Vec<f64>> {
    let values: Vec<f64> = list(node)
        .iter()
        .map(|node| match node.content {
            Content::Number(value) => Some(value),
            _ => None,
        })
        .collect::<Option<_>>()?;
    (!values.is_empty()).then_some(values)
}

/// Returns all combinations of the values of ranges.
fn combine(
    expectation: &Expectation,
    deployment: &Deployment,
    ranges: &[SettingRange],
    faults: &mut Faults,
) -> Result<Vec<Combination>, Faults> {
    let place = expectation.given.place;
    let mut combinations = vec![Combination::default()];
    for SettingRange { name, values } in ranges {
        let key = match deployment.resolve(name) {
            Ok(named) => named.key,
            Err(problem) => {
                faults.add(&expectation.file, place, "given.range", problem);
                continue;
            }
        };
        combinations = combinations
            .iter()
            .flat_map(|combination| {
                values
                    .iter()
                    .map(|value| combination.with(name, &key, *value))
            })
            .collect();
        if combinations.len() > MAX_DEPLOYMENTS {
            let problem = format!(
                "{} deployments; {MAX_DEPLOYMENTS} at most",
                combinations.len()
            );
            faults.add(&expectation.file, place, "given.range", problem);
            return Err(std::mem::take(faults));
        }
    }
    Ok(combinations)
}
