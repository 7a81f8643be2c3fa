//! Attribution of a verdict to lines of configuration.
//!
//! The search tries alternative values of the keys, one by one and in groups, and reports the keys that change the
//! verdict. It does not use the meaning of a key.

mod alternatives;
mod minimize;

use crate::compile::compile;
use crate::explore::{explore, Budget};
use crate::suite::{Expectation, Suite};
use alternatives::{alternatives, show};
use minimize::minimize;
use quartzcleat_config::deployment::Change;
use quartzcleat_config::tree::{Content, Leaf, Node};
use quartzcleat_config::Deployment;
use serde::Serialize;

/// Maximum number of runs for one alternative configuration.
const MAX_RUNS: u64 = 200;
/// Maximum number of events, over all runs, for one alternative configuration.
const MAX_EVENTS: u64 = 100_000;
/// Number of alternative configurations tried per section, in which all of its keys change together.
const SECTION_ALTERNATIVES: usize = 4;
/// Text shown in place of the value of a key that is not set.
const NOT_SET: &str = "nothing";

/// A line of configuration on which a verdict depends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SourceLine {
    /// The configuration file, as it was named when read.
    pub file: String,
    /// The line number in the file.
    pub line: u32,
    /// The dotted path of the key.
    pub key: String,
    /// The configured value, a time with its unit; `nothing` where the key is not set.
    #[serde(rename = "says")]
    pub value: String,
    /// The value that changes the verdict, in the same form.
    #[serde(rename = "would")]
    pub alternative: String,
}

/// The lines of configuration that are responsible for a verdict.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SourceAttribution {
    /// Sets of lines. Changing all lines of one set to their alternatives changes the verdict.
    #[serde(rename = "sets")]
    pub line_sets: Vec<Vec<SourceLine>>,
    /// The number of alternative configurations tried; 0 where there was no search.
    #[serde(rename = "tried")]
    pub configurations: u64,
}

/// The expectation whose verdict is attributed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subject<'a> {
    pub(crate) suite: &'a Suite,
    pub(crate) expectation: &'a Expectation,
    pub(crate) budget: &'a Budget,
}

impl Subject<'_> {
    /// Returns whether the expectation holds and is exercised in a deployment, or `None` if it does not compile for it.
    fn holds(&self, deployment: &Deployment) -> Option<bool> {
        let budget = Budget {
            max_runs: self.budget.max_runs.min(MAX_RUNS),
            max_events: self.budget.max_events.min(MAX_EVENTS),
            ..*self.budget
        };
        let compiled = compile(self.suite, self.expectation, deployment).ok()?;
        let explored = explore(&compiled, &budget);
        let is_exercised = explored
            .coverage
            .iter()
            .all(|requirement| requirement.exercised > 0);
        Some(explored.failure.is_none() && is_exercised)
    }
}

/// A search for changes of a deployment that bring a verdict.
struct Search<'a> {
    subject: Subject<'a>,
    base: &'a Deployment,
    /// The verdict searched for: `true` if the expectation is to hold.
    wanted: bool,
    configurations: u64,
}

impl Search<'_> {
    /// Returns whether the deployment has the wanted verdict after these changes, and counts the attempt.
    fn has_wanted_verdict(&mut self, changes: &[Change]) -> bool {
        self.configurations += 1;
        self.base
            .with(changes)
            .ok()
            .and_then(|changed| self.subject.holds(&changed))
            == Some(self.wanted)
    }

    /// Returns one set for each key that brings the wanted verdict on its own.
    fn search_single_keys(&mut self, keys: &[Leaf<'_>]) -> Vec<Vec<SourceLine>> {
        let mut line_sets = Vec::new();
        for Leaf { path, node } in keys {
            let alternative = alternatives(self.base, path, node)
                .into_iter()
                .find(|value| self.has_wanted_verdict(&[Change::set(path, value.clone())]));
            if let Some(value) = alternative {
                line_sets.push(vec![source_line(self.base, path, &show(path, &value))]);
            }
        }
        line_sets
    }

    /// Returns, for each section, the smallest set of its keys found that brings the wanted verdict.
    fn search_sections(&mut self, keys: &[Leaf<'_>]) -> Vec<Vec<SourceLine>> {
        let mut sections: Vec<&str> = keys
            .iter()
            .filter_map(|key| section_of(&key.path))
            .collect();
        sections.dedup();
        let mut line_sets = Vec::new();
        for section in sections {
            let members: Vec<_> = keys
                .iter()
                .filter(|key| section_of(&key.path) == Some(section))
                .collect();
            line_sets.extend(self.search_section(&members));
        }
        line_sets
    }

    /// Returns the smallest set found of a section's keys that brings the wanted verdict, or `None` if there is none.
    fn search_section(&mut self, members: &[&Leaf<'_>]) -> Option<Vec<SourceLine>> {
        for position in 0..SECTION_ALTERNATIVES {
            let changes: Vec<Change> = members
                .iter()
                .filter_map(|Leaf { path, node }| {
                    let value = alternatives(self.base, path, node).get(position)?.clone();
                    Some(Change::set(path, value))
                })
                .collect();
            if changes.len() > 1 && self.has_wanted_verdict(&changes) {
                let smallest = minimize(changes, &mut |changes| self.has_wanted_verdict(changes));
                let line = |Change { path, value }: &Change| {
                    source_line(self.base, path, &show_value(path, value.as_ref()))
                };
                return Some(smallest.iter().map(line).collect());
            }
        }
        None
    }
}

/// Attributes a failure to settings when there is no other deployment to compare with.
///
/// Each key takes its default and nearby values, first on its own. If no single key changes the verdict, all keys of
/// a section change together.
pub(crate) fn attribute_to_settings(
    subject: Subject<'_>,
    deployment: &Deployment,
) -> SourceAttribution {
    let mut search = Search {
        subject,
        base: deployment,
        wanted: true,
        configurations: 0,
    };
    let keys = deployment.keys();
    let mut line_sets = search.search_single_keys(&keys);
    if line_sets.is_empty() {
        line_sets = search.search_sections(&keys);
    }
    SourceAttribution {
        line_sets,
        configurations: search.configurations,
    }
}

/// Attributes a verdict of a new deployment to the smallest set of changes from the old one that brings it.
pub(crate) fn attribute_to_changes(
    subject: Subject<'_>,
    old: &Deployment,
    new: &Deployment,
    wanted: bool,
) -> SourceAttribution {
    let mut search = Search {
        subject,
        base: old,
        wanted,
        configurations: 0,
    };
    let all = changes_between(old, new);
    let mut line_sets = Vec::new();
    if !all.is_empty() && search.has_wanted_verdict(&all) {
        let smallest = minimize(all, &mut |changes| search.has_wanted_verdict(changes));
        let line = |Change { path, .. }: &Change| {
            let old_value = old.tree.at(path).map(|node| &node.content);
            source_line(new, path, &show_value(path, old_value))
        };
        line_sets.push(smallest.iter().map(line).collect());
    }
    SourceAttribution {
        line_sets,
        configurations: search.configurations,
    }
}

/// Returns the changes that turn the old deployment into the new one.
pub(crate) fn changes_between(old: &Deployment, new: &Deployment) -> Vec<Change> {
    let is_changed = |path: &str, node: &Node| {
        let old_node = old.tree.at(path);
        old_node.is_none_or(|old_node| old_node.content != node.content)
    };
    let mut changes: Vec<Change> = Vec::new();
    for Leaf { path, node } in new.tree.leaves() {
        if is_changed(&path, node) {
            changes.push(Change::set(path, node.content.clone()));
        }
    }
    for Leaf { path, .. } in old.tree.leaves() {
        if new.tree.at(&path).is_none() {
            changes.push(Change::remove(path));
        }
    }
    changes
}

fn section_of(path: &str) -> Option<&str> {
    path.rsplit_once('.').map(|(section, _)| section)
}

fn show_value(path: &str, value: Option<&Content>) -> String {
    value.map_or_else(|| NOT_SET.to_owned(), |value| show(path, value))
}

fn source_line(deployment: &Deployment, path: &str, alternative: &str) -> SourceLine {
    let value = deployment.tree.at(path).map(|node| &node.content);
    SourceLine {
        file: deployment.file.to_string(),
        line: deployment.line(path),
        key: path.to_owned(),
        value: show_value(path, value),
        alternative: alternative.to_owned(),
    }
}
