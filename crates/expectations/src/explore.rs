//! The search through what an expectation leaves open: exhaustive to a depth, equal states met once, deeper as long
//! as the budget lasts; then seeded random walks for the rest of it.

use crate::compile::Compiled;
use crate::must::{Facts, Judged};
use quartzcleat_decision::api::{Nanos, RequestId};
use quartzcleat_invariants::{check, Record};
use quartzcleat_simulation::oracle::ChoicePath;
use quartzcleat_simulation::{simulate, ChoicePoint, Oracle};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// How much is played.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Plays at most.
    pub plays: u64,
    /// Events at most, over all plays: long stories get fewer plays.
    pub events: u64,
    /// Choices to which all ways are tried, at most.
    pub depth: usize,
    /// For the random walks.
    pub seed: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            plays: 2_000,
            events: 600_000,
            depth: 24,
            seed: 1,
        }
    }
}

/// A failure and the choices that lead to it.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The choices, as short as was found.
    pub path: Vec<usize>,
    /// How many choices the play had.
    pub choices: usize,
    /// The number of the demand that fails; `None` for one of the rules.
    pub must: Option<usize>,
    /// When.
    pub at: Nanos,
    /// Whose request.
    pub request: Option<RequestId>,
    /// What happened.
    pub how: String,
    /// The play.
    pub records: Vec<Record>,
}

/// What the search found.
#[derive(Clone, Debug, Default)]
pub struct Explored {
    /// Plays.
    pub plays: u64,
    /// Events in them.
    pub events: u64,
    /// Different states met at choices.
    pub states: u64,
    /// Plays that ended early because their state had been met.
    pub met: u64,
    /// Random walks among the plays.
    pub walks: u64,
    /// All ways were tried to this many choices.
    pub depth: usize,
    /// All ways were tried to the end.
    pub complete: bool,
    /// How often each demand was put to the test, and the largest figure it came to.
    pub judged: Vec<(u64, f64)>,
    /// The first failure, shortened.
    pub failure: Option<Failure>,
}

struct Search<'a> {
    prefix: &'a [usize],
    taken: Vec<(usize, usize)>,
    depth: usize,
    seen: &'a mut HashMap<u64, usize>,
}

impl Oracle for Search<'_> {
    fn choose(
        &mut self,
        point: ChoicePoint,
        options: usize,
        print: &dyn Fn() -> u64,
    ) -> Option<usize> {
        let place = self.taken.len();
        let choice = match self.prefix.get(place) {
            Some(choice) => *choice,
            None if place < self.depth => {
                let left = self.depth - place;
                // The kind of choice belongs to the state: two of them may follow at one moment.
                let state = print() ^ (point as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                match self.seen.get(&state) {
                    Some(known) if *known >= left => return None,
                    _ => drop(self.seen.insert(state, left)),
                }
                0
            }
            None => 0,
        };
        self.taken.push((choice, options));
        Some(choice)
    }
}

/// Walks at random, the first option being the likeliest: most of what may go wrong does not, on most days.
struct Walk {
    rng: Pcg64Mcg,
    taken: Vec<usize>,
}

impl Oracle for Walk {
    fn choose(&mut self, _: ChoicePoint, options: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        let usual = self.rng.random_bool(0.5);
        let choice = if usual {
            0
        } else {
            self.rng.random_range(0..options)
        };
        self.taken.push(choice);
        Some(choice)
    }
}

/// Judges a play by all demands and the rules. The first failure in time, if there is one: the number of the demand,
/// when, whose and how.
#[allow(clippy::type_complexity)]
pub fn judge(
    compiled: &Compiled,
    records: &[Record],
    whole: bool,
    slack: Nanos,
) -> (
    Vec<Judged>,
    Option<(Option<usize>, Nanos, Option<RequestId>, String)>,
) {
    let processes = &compiled.scenario.processes;
    let facts = Facts::gather(processes, records, slack);
    let judged: Vec<Judged> = compiled
        .musts
        .iter()
        .map(|must| facts.judge(processes, must))
        .collect();
    if !whole {
        // What a play that was cut short shows so far was judged in the play that met its state before.
        return (judged, None);
    }
    let mut failed: Vec<_> = judged
        .iter()
        .enumerate()
        .filter_map(|(number, judged)| {
            let (at, request, how) = judged.failed.clone()?;
            Some((Some(number), at, request, how))
        })
        .collect();
    let terms = quartzcleat_invariants::InvariantLimits {
        time_tolerance: slack,
        ..compiled.terms.clone()
    };
    failed.extend(check(processes, &terms, records).into_iter().map(|broken| {
        (
            None,
            broken.at,
            broken.request,
            format!(
                "rule broken ({}): {}",
                broken.invariant.name(),
                broken.description
            ),
        )
    }));
    let first = failed
        .into_iter()
        .min_by_key(|(number, at, ..)| (*at, number.is_none()));
    (judged, first)
}

impl Explored {
    fn add(&mut self, compiled: &Compiled, oracle: &mut dyn Oracle) -> (Option<Failure>, bool) {
        let played = simulate(&compiled.scenario, oracle);
        self.plays += 1;
        self.events += played.events;
        let (judged, failed) = judge(compiled, &played.records, played.is_complete, 0);
        self.judged.resize(judged.len(), (0, 0.0));
        for (sum, judged) in self.judged.iter_mut().zip(&judged) {
            sum.0 += if played.is_complete { judged.tested } else { 0 };
            sum.1 = sum.1.max(judged.figure);
        }
        let failure = failed.map(|(must, at, request, how)| Failure {
            path: Vec::new(),
            choices: 0,
            must,
            at,
            request,
            how,
            records: played.records,
        });
        (failure, played.is_complete)
    }
}

/// Plays an expectation until it fails, all ways have been tried, or the budget is spent.
pub fn explore(compiled: &Compiled, budget: &Budget) -> Explored {
    let mut explored = Explored::default();
    let spent = |explored: &Explored, part: f64| {
        explored.plays as f64 >= budget.plays as f64 * part
            || explored.events as f64 >= budget.events as f64 * part
    };
    let mut depth = 4.min(budget.depth);
    while !spent(&explored, 0.6) {
        let (mut prefix, mut seen, mut all, mut deepest) = (Vec::new(), HashMap::new(), false, 0);
        loop {
            let mut search = Search {
                prefix: &prefix,
                taken: Vec::new(),
                depth,
                seen: &mut seen,
            };
            let (failure, whole) = explored.add(compiled, &mut search);
            let taken = search.taken;
            explored.met += u64::from(!whole);
            deepest = deepest.max(taken.len());
            if let Some(failure) = failure {
                let path = taken.iter().map(|(choice, _)| *choice).collect();
                explored.states = explored.states.max(seen.len() as u64);
                explored.failure = Some(shorten(compiled, path, failure));
                return explored;
            }
            // The next way: the last choice within the depth that has another option.
            let last = taken
                .iter()
                .take(depth)
                .rposition(|(choice, options)| choice + 1 < *options);
            let Some(last) = last else {
                all = true;
                break;
            };
            prefix = taken[..=last].iter().map(|(choice, _)| *choice).collect();
            prefix[last] += 1;
            if spent(&explored, 0.6) {
                break;
            }
        }
        explored.states = explored.states.max(seen.len() as u64);
        if !all {
            break;
        }
        explored.depth = depth;
        if deepest <= depth {
            explored.complete = true;
            return explored;
        }
        if depth >= budget.depth {
            break;
        }
        depth = (depth + 4).min(budget.depth);
    }
    let mut number = 0;
    while !spent(&explored, 1.0) {
        let rng = Pcg64Mcg::seed_from_u64(budget.seed.wrapping_mul(1_000_003).wrapping_add(number));
        let mut walk = Walk {
            rng,
            taken: Vec::new(),
        };
        let (failure, _) = explored.add(compiled, &mut walk);
        (number, explored.walks) = (number + 1, explored.walks + 1);
        if let Some(failure) = failure {
            explored.failure = Some(shorten(compiled, walk.taken, failure));
            return explored;
        }
    }
    explored
}

/// Plays one path of choices.
pub fn follow(compiled: &Compiled, path: &[usize]) -> (Vec<Record>, Option<Failure>) {
    let played = simulate(&compiled.scenario, &mut ChoicePath::new(path.to_vec()));
    let (_, failed) = judge(compiled, &played.records, played.is_complete, 0);
    let failure = failed.map(|(must, at, request, how)| Failure {
        path: path.to_vec(),
        choices: path.len(),
        must,
        at,
        request,
        how,
        records: played.records.clone(),
    });
    (played.records, failure)
}

/// Makes a failing path as plain as can be: each choice goes back to its first option where the same demand still
/// fails. Starts with groups of them, for speed.
fn shorten(compiled: &Compiled, mut path: Vec<usize>, mut failure: Failure) -> Failure {
    let choices = path.len();
    let trim = |path: &mut Vec<usize>| {
        while path.last() == Some(&0) {
            path.pop();
        }
    };
    trim(&mut path);
    let (mut size, mut tries) = (path.len().max(1), 400);
    while size >= 1 && tries > 0 {
        let mut at = 0;
        while at < path.len() && tries > 0 {
            let end = (at + size).min(path.len());
            if path[at..end].iter().any(|choice| *choice != 0) {
                let mut plain = path.clone();
                plain[at..end].fill(0);
                trim(&mut plain);
                tries -= 1;
                let (_, again) = follow(compiled, &plain);
                if let Some(again) = again.filter(|again| again.must == failure.must) {
                    (path, failure) = (plain, again);
                    continue;
                }
            }
            at += size;
        }
        size /= 2;
    }
    Failure {
        path,
        choices,
        ..failure
    }
}
