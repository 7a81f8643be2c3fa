//! Search through the choices that an expectation leaves open.
//!
//! The search is exhaustive to a depth, visits equal states once, and is repeated with a greater depth while its share
//! of the budget lasts. Seeded random walks use the rest of the budget.

mod oracles;
mod shorten;

use crate::compile::CompiledExpectation;
use crate::evaluation::{judge, judge_stopped, Judgement, Violation};
use oracles::{RandomWalk, SystematicSearch};
use quartzcleat_invariants::Record;
use quartzcleat_simulation::oracle::ChoicePath;
use quartzcleat_simulation::{simulate, Oracle, SimulationRun};
use shorten::shorten;
use std::collections::HashMap;

/// Share of the budget for the exhaustive search; the rest is for random walks.
const SEARCH_SHARE: f64 = 0.6;
/// Depth, in choices, of the first exhaustive search, and its increment for each further one.
const DEPTH_STEP: usize = 4;

/// Limits of an exploration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Maximum number of runs.
    pub max_runs: u64,
    /// Maximum number of events over all runs, so that long scenarios get fewer runs.
    pub max_events: u64,
    /// Maximum depth of the exhaustive search, in choices from the start of a run.
    pub max_depth: usize,
    /// The seed of the random walks.
    pub seed: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            max_runs: 2_000,
            max_events: 600_000,
            max_depth: 24,
            seed: 1,
        }
    }
}

/// A failing run and the choices that lead to it.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The choices, as the index of the option taken at each; the shortest path found.
    pub path: Vec<usize>,
    /// The number of choices in the failing run before its path was shortened.
    pub choices: usize,
    /// The index of the violated requirement; `None` for an invariant.
    pub requirement: Option<usize>,
    /// The violation that makes the run fail.
    pub violation: Violation,
    /// The records of the run along the path.
    pub records: Vec<Record>,
}

/// The coverage of a requirement by all runs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequirementCoverage {
    /// The number of times that complete runs exercised it.
    pub exercised: u64,
    /// The largest value that any run, complete or stopped, measured for it.
    pub largest_value: f64,
}

/// The result of the search.
#[derive(Clone, Debug, Default)]
pub struct Exploration {
    /// Number of runs, complete or stopped.
    pub runs: u64,
    /// Number of simulated events in all runs.
    pub events: u64,
    /// Number of distinct states visited by the largest of the exhaustive searches.
    pub states: u64,
    /// Number of runs that were stopped at a state that had been visited already.
    pub stopped_runs: u64,
    /// Number of random walks among the runs.
    pub random_walks: u64,
    /// Number of choices from the start of a run to which the search was exhaustive.
    pub depth: usize,
    /// Whether the search covered every path of choices to its end.
    pub is_exhaustive: bool,
    /// The coverage of each requirement, in the order of the compiled expectation.
    pub coverage: Vec<RequirementCoverage>,
    /// The first failure, with its path shortened; `None` if every run holds.
    pub failure: Option<Failure>,
}

/// The end of an exhaustive search to a depth.
enum SearchEnd {
    Failed,
    BudgetSpent,
    /// The search was exhaustive to its depth.
    Exhausted {
        /// Number of choices in the longest run.
        longest: usize,
    },
}

/// Explores an expectation until it fails, the exploration is exhaustive, or the budget is spent.
#[must_use]
pub fn explore(compiled: &CompiledExpectation, budget: &Budget) -> Exploration {
    let mut explorer = Explorer {
        compiled,
        budget,
        exploration: Exploration::default(),
    };
    explorer.search();
    let is_decided = explorer.exploration.failure.is_some() || explorer.exploration.is_exhaustive;
    if !is_decided {
        explorer.walk_randomly();
    }
    explorer.exploration
}

struct Explorer<'a> {
    compiled: &'a CompiledExpectation,
    budget: &'a Budget,
    exploration: Exploration,
}

impl Explorer<'_> {
    /// Returns whether this share of the budget is spent.
    fn is_spent(&self, share: f64) -> bool {
        self.exploration.runs as f64 >= self.budget.max_runs as f64 * share
            || self.exploration.events as f64 >= self.budget.max_events as f64 * share
    }

    /// Searches exhaustively with increasing depth.
    fn search(&mut self) {
        let max_depth = self.budget.max_depth;
        let mut depth = DEPTH_STEP.min(max_depth);
        while !self.is_spent(SEARCH_SHARE) {
            let SearchEnd::Exhausted { longest } = self.search_to(depth) else {
                return;
            };
            self.exploration.depth = depth;
            if longest <= depth {
                self.exploration.is_exhaustive = true;
                return;
            }
            if depth >= max_depth {
                return;
            }
            depth = (depth + DEPTH_STEP).min(max_depth);
        }
    }

    /// Searches exhaustively to one depth.
    fn search_to(&mut self, depth: usize) -> SearchEnd {
        let mut prefix = Vec::new();
        let mut visited = HashMap::new();
        let mut longest = 0;
        let end = loop {
            let mut search = SystematicSearch::new(&prefix, depth, &mut visited);
            let explored = run(self.compiled, &mut search);
            let next_prefix = search.next_prefix();
            let choices = search.choices();
            longest = longest.max(choices.len());
            self.exploration.stopped_runs += u64::from(!explored.run.is_complete);
            if self.record_run(explored, choices) == RunOutcome::Failed {
                break SearchEnd::Failed;
            }
            let Some(next_prefix) = next_prefix else {
                break SearchEnd::Exhausted { longest };
            };
            prefix = next_prefix;
            if self.is_spent(SEARCH_SHARE) {
                break SearchEnd::BudgetSpent;
            }
        };
        self.exploration.states = self.exploration.states.max(visited.len() as u64);
        end
    }

    /// Makes random walks until one fails or the budget is spent.
    fn walk_randomly(&mut self) {
        let mut number = 0;
        while !self.is_spent(1.0) {
            let mut walk = RandomWalk::new(self.budget.seed, number);
            let explored = run(self.compiled, &mut walk);
            number += 1;
            self.exploration.random_walks += 1;
            if self.record_run(explored, walk.into_choices()) == RunOutcome::Failed {
                return;
            }
        }
    }

    /// Adds a run to the exploration's counts and coverage. A failure is shortened and kept.
    fn record_run(&mut self, explored: ExploredRun, choices: Vec<usize>) -> RunOutcome {
        self.exploration.runs += 1;
        self.exploration.events += explored.run.events;
        let coverage = &mut self.exploration.coverage;
        let evaluations = &explored.judgement.evaluations;
        coverage.resize(evaluations.len(), RequirementCoverage::default());
        for (covered, evaluation) in coverage.iter_mut().zip(evaluations) {
            if explored.run.is_complete {
                covered.exercised += evaluation.exercised;
            }
            covered.largest_value = covered.largest_value.max(evaluation.value);
        }
        let Some(failure) = explored.into_failure(choices) else {
            return RunOutcome::Held;
        };
        self.exploration.failure = Some(shorten(self.compiled, failure));
        RunOutcome::Failed
    }
}

/// Whether the expectation holds in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunOutcome {
    Held,
    Failed,
}

/// A run and its judgement.
struct ExploredRun {
    run: SimulationRun,
    judgement: Judgement,
}

impl ExploredRun {
    /// Returns the failure, or `None` if the run holds.
    fn into_failure(self, path: Vec<usize>) -> Option<Failure> {
        let failure = self.judgement.failure?;
        Some(Failure {
            choices: path.len(),
            path,
            requirement: failure.requirement,
            violation: failure.violation,
            records: self.run.records,
        })
    }
}

/// Runs a compiled expectation once.
fn run(compiled: &CompiledExpectation, oracle: &mut dyn Oracle) -> ExploredRun {
    let run = simulate(&compiled.scenario, oracle);
    let judgement = if run.is_complete {
        judge(compiled, &run.records, 0)
    } else {
        judge_stopped(compiled, &run.records)
    };
    ExploredRun { run, judgement }
}

/// The result of a run along one path of choices.
#[derive(Clone, Debug)]
pub enum Replay {
    /// The run fails.
    Failed(Failure),
    /// The run holds and has these records.
    Held(Vec<Record>),
}

/// Runs a compiled expectation along one path of choices. Choices beyond its end take their first option.
#[must_use]
pub fn replay(compiled: &CompiledExpectation, path: &[usize]) -> Replay {
    let explored = run(compiled, &mut ChoicePath::new(path.to_vec()));
    if explored.judgement.failure.is_none() {
        return Replay::Held(explored.run.records);
    }
    match explored.into_failure(path.to_vec()) {
        Some(failure) => Replay::Failed(failure),
        None => Replay::Held(Vec::new()),
    }
}
