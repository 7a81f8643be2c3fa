//! The search through the choices that an expectation leaves open: exhaustive to a depth, visiting equal states once, deeper as
//! long as the budget lasts; then seeded random walks for the rest of it.

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

/// The share of the budget for the exhaustive search; the rest is for random walks.
const SEARCH_SHARE: f64 = 0.6;
/// The depth of the first exhaustive search, and the step to the next one.
const DEPTH_STEP: usize = 4;

/// How much is explored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The most runs.
    pub max_runs: u64,
    /// The most events over all runs: long scenarios get fewer runs.
    pub max_events: u64,
    /// The most choices to which all ways are tried.
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
    /// The choices, as short as was found.
    pub path: Vec<usize>,
    /// How many choices the run had that was first found to fail.
    pub choices: usize,
    /// The index of the requirement that fails; `None` for an invariant.
    pub requirement: Option<usize>,
    /// What happened.
    pub violation: Violation,
    /// The records of the run.
    pub records: Vec<Record>,
}

/// How all runs together exercised a requirement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequirementCoverage {
    /// How often the complete runs exercised it.
    pub exercised: u64,
    /// The largest value that it came to.
    pub largest_value: f64,
}

/// The result of the search.
#[derive(Clone, Debug, Default)]
pub struct Exploration {
    /// Runs.
    pub runs: u64,
    /// Events in them.
    pub events: u64,
    /// Distinct states at choices.
    pub states: u64,
    /// Runs that were stopped because their state had been visited.
    pub stopped_runs: u64,
    /// Random walks among the runs.
    pub random_walks: u64,
    /// The number of choices to which all ways were tried.
    pub depth: usize,
    /// Whether all ways were tried to the end.
    pub is_exhaustive: bool,
    /// How each requirement was exercised.
    pub coverage: Vec<RequirementCoverage>,
    /// The first failure, shortened.
    pub failure: Option<Failure>,
}

/// How an exhaustive search to a depth ended.
enum SearchEnd {
    Failed,
    BudgetSpent,
    /// The search was exhaustive to its depth. The longest run had so many choices.
    Exhausted {
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
    /// Whether this share of the budget is spent.
    fn is_spent(&self, share: f64) -> bool {
        self.exploration.runs as f64 >= self.budget.max_runs as f64 * share
            || self.exploration.events as f64 >= self.budget.max_events as f64 * share
    }

    /// Searches exhaustively, deeper and deeper.
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

    /// Searches exhaustively to a depth.
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

    /// Walks at random for the rest of the budget.
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

    /// Adds a run to the exploration.
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
    /// The failure, where the run failed.
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

/// The run of one path of choices.
#[derive(Clone, Debug)]
pub enum Replay {
    /// It fails.
    Failed(Failure),
    /// It holds, with these records.
    Held(Vec<Record>),
}

/// Runs one path of choices.
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
