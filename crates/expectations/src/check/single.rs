//! The check of one expectation for one deployment.

use super::options::Options;
use super::result::{
    ExpectationResult, ExplorationCounts, FailureReport, Verdict, VerdictDifference,
};
use super::tasks::CheckTask;
use super::timeline::failure_timeline;
use super::vacuity;
use crate::attribution::{
    attribute_to_changes, attribute_to_settings, changes_between, SourceAttribution, Subject,
};
use crate::compile::{compile, CompiledExpectation};
use crate::evaluation::Violation;
use crate::explore::{explore, replay, Exploration, Failure, Replay};
use quartzcleat_config::{Deployment, Faults};
use std::time::Instant;

/// Checks one expectation, and compares its verdict with the one for the `compared` deployment, if any.
pub(super) fn check(
    task: &CheckTask,
    compared: Option<&Deployment>,
    options: &Options,
) -> ExpectationResult {
    let started = Instant::now();
    let check = SingleCheck {
        task,
        compared,
        options,
    };
    let compiled = match compile(&task.suite, &task.expectation, &task.deployment) {
        Ok(compiled) => compiled,
        Err(faults) => return check.invalid(&faults),
    };
    if let Some(path) = &options.replay {
        return check.replay(&compiled, path);
    }
    let mut result = check.explore(&compiled);
    result.seconds = started.elapsed().as_secs_f64();
    result
}

struct SingleCheck<'a> {
    task: &'a CheckTask,
    compared: Option<&'a Deployment>,
    options: &'a Options,
}

impl SingleCheck<'_> {
    fn result(&self, verdict: Verdict) -> ExpectationResult {
        let expectation = &self.task.expectation;
        ExpectationResult {
            file: expectation.file.to_string(),
            line: expectation.line,
            name: expectation.name.clone(),
            deployment: self.task.label.clone(),
            verdict,
            notes: Vec::new(),
            failure: None,
            attribution: None,
            difference: None,
            explored: ExplorationCounts::default(),
            seconds: 0.0,
        }
    }

    fn invalid(&self, faults: &Faults) -> ExpectationResult {
        let mut result = self.result(Verdict::Invalid);
        result.notes = faults.0.iter().map(ToString::to_string).collect();
        result
    }

    /// Runs one path of choices in place of an exploration.
    fn replay(&self, compiled: &CompiledExpectation, path: &[usize]) -> ExpectationResult {
        let (verdict, failure) = match replay(compiled, path) {
            Replay::Failed(failure) => (Verdict::Failed, failure),
            Replay::Held(records) => {
                let no_failure = Failure {
                    path: path.to_vec(),
                    choices: path.len(),
                    requirement: None,
                    violation: Violation {
                        at: 0,
                        request: None,
                        description: "no failure on this path".to_owned(),
                    },
                    records,
                };
                (Verdict::Held, no_failure)
            }
        };
        let mut result = self.result(verdict);
        result.failure =
            Some(self.report_failure(compiled, &failure, SourceAttribution::default()));
        result
    }

    /// Explores the expectation, and adds vacuity, attribution and comparison as the options ask for them.
    fn explore(&self, compiled: &CompiledExpectation) -> ExpectationResult {
        let exploration = explore(compiled, &self.options.budget);
        let mut result = self.result(verdict(&exploration));
        result.notes = unexercised_notes(compiled, &exploration);
        if result.verdict == Verdict::Held && self.options.check_vacuity {
            let vacuous = vacuity::vacuous_requirements(self.task, compiled, &exploration);
            if !vacuous.is_empty() {
                result.verdict = Verdict::Vacuous;
                result.notes.extend(vacuous);
            }
        }
        if result.verdict == Verdict::Untested && self.options.attribute_sources {
            result.attribution = Some(self.attribute());
        }
        if let Some(failure) = &exploration.failure {
            let attribution = if self.options.attribute_sources {
                self.attribute()
            } else {
                SourceAttribution::default()
            };
            result.failure = Some(self.report_failure(compiled, failure, attribution));
        }
        result.difference = self.difference(&result);
        result.explored = ExplorationCounts::from(&exploration);
        result
    }

    fn subject(&self) -> Subject<'_> {
        Subject {
            suite: &self.task.suite,
            expectation: &self.task.expectation,
            budget: &self.options.budget,
        }
    }

    /// Finds the lines of configuration because of which the expectation does not hold.
    fn attribute(&self) -> SourceAttribution {
        let deployment = &self.task.deployment;
        match self.compared {
            Some(old) if !changes_between(old, deployment).is_empty() => {
                attribute_to_changes(self.subject(), old, deployment, false)
            }
            _ => attribute_to_settings(self.subject(), deployment),
        }
    }

    /// Returns the difference from the verdict for the compared deployment, or `None` if both hold or neither does.
    fn difference(&self, result: &ExpectationResult) -> Option<VerdictDifference> {
        let old = self.compared?;
        let compiled = compile(&self.task.suite, &self.task.expectation, old).ok()?;
        let compared = verdict(&explore(&compiled, &self.options.budget));
        let holds = result.verdict.holds();
        if compared.holds() == holds {
            return None;
        }
        let attribution = match &result.failure {
            Some(failure) if !failure.attribution.line_sets.is_empty() => {
                failure.attribution.clone()
            }
            _ => attribute_to_changes(self.subject(), old, &self.task.deployment, holds),
        };
        Some(VerdictDifference {
            compared,
            attribution,
        })
    }

    fn report_failure(
        &self,
        compiled: &CompiledExpectation,
        failure: &Failure,
        attribution: SourceAttribution,
    ) -> FailureReport {
        let requirement = failure
            .requirement
            .and_then(|index| compiled.requirements.get(index));
        let line = requirement.map_or(self.task.expectation.line, |requirement| requirement.line);
        FailureReport {
            description: failure.violation.description.clone(),
            line,
            path: failure.path.clone(),
            choices: failure.choices,
            timeline: failure_timeline(&compiled.scenario.processes, failure),
            attribution,
        }
    }
}

fn verdict(exploration: &Exploration) -> Verdict {
    let is_exercised = exploration
        .coverage
        .iter()
        .all(|requirement| requirement.exercised > 0);
    if exploration.failure.is_some() {
        Verdict::Failed
    } else if is_exercised {
        Verdict::Held
    } else {
        Verdict::Untested
    }
}

/// Returns a note for each requirement that no run exercised; none if there is a failure.
fn unexercised_notes(compiled: &CompiledExpectation, exploration: &Exploration) -> Vec<String> {
    if exploration.failure.is_some() {
        return Vec::new();
    }
    let note = |line: u32| format!("line {line}: no run exercises this requirement");
    compiled
        .requirements
        .iter()
        .zip(&exploration.coverage)
        .filter(|(_, coverage)| coverage.exercised == 0)
        .map(|(requirement, _)| note(requirement.line))
        .collect()
}
