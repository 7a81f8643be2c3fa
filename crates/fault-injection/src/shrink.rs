//! Shrinks a failing scenario: fewer faults, fewer limiters, shorter faults, an earlier end. This module starts no
//! processes: the caller runs each smaller scenario and returns whether it still fails.

use crate::Scenario;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The smallest number of acceptors that still has a majority after the loss of one.
const MIN_ACCEPTORS: usize = 3;

/// Shrinks a scenario for as long as a smaller one still fails, and returns the smallest. `fails` should run a scenario
/// more than once, since the timing of processes differs between runs.
pub fn shrink(scenario: Scenario, mut fails: impl FnMut(&Scenario) -> bool) -> Scenario {
    let mut smallest = scenario;
    while let Some(smaller) = candidates(&smallest).into_iter().find(&mut fails) {
        smallest = smaller;
    }
    smallest
}

/// Returns the scenarios that are one step smaller, the largest steps first.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    candidates.extend(with_half_the_faults(scenario));
    candidates.extend(without_one_fault(scenario));
    candidates.extend(with_fewer_limiters(scenario));
    candidates.extend(with_fewer_acceptors(scenario));
    candidates.extend(with_earlier_end(scenario));
    candidates.extend(with_shorter_faults(scenario));
    candidates
}

fn with_half_the_faults(scenario: &Scenario) -> Vec<Scenario> {
    if scenario.faults.len() <= 2 {
        return Vec::new();
    }
    let (first, second) = scenario.faults.split_at(scenario.faults.len() / 2);
    [first, second]
        .into_iter()
        .map(|faults| Scenario {
            faults: faults.to_vec(),
            ..scenario.clone()
        })
        .collect()
}

fn without_one_fault(scenario: &Scenario) -> Vec<Scenario> {
    (0..scenario.faults.len())
        .map(|index| {
            let mut smaller = scenario.clone();
            smaller.faults.remove(index);
            smaller
        })
        .collect()
}

/// Returns scenarios with fewer limiters. Only limiters that are not acceptors are removed.
fn with_fewer_limiters(scenario: &Scenario) -> Vec<Scenario> {
    [scenario.acceptors, scenario.limiters.div_ceil(2)]
        .into_iter()
        .filter(|limiters| (scenario.acceptors..scenario.limiters).contains(limiters))
        .map(|limiters| Scenario {
            limiters,
            ..scenario.clone()
        })
        .collect()
}

fn with_fewer_acceptors(scenario: &Scenario) -> Option<Scenario> {
    (scenario.acceptors > MIN_ACCEPTORS).then(|| Scenario {
        acceptors: MIN_ACCEPTORS,
        ..scenario.clone()
    })
}

/// Returns the scenario with its end two lease durations after the end of the last fault, since nothing relevant
/// happens later.
fn with_earlier_end(scenario: &Scenario) -> Option<Scenario> {
    let faults_end: Duration = scenario
        .faults
        .iter()
        .map(|fault| fault.at + fault.duration)
        .max()
        .unwrap_or_default();
    let duration = faults_end + scenario.lease_length * 2;
    (duration < scenario.duration).then(|| Scenario {
        duration,
        ..scenario.clone()
    })
}

fn with_shorter_faults(scenario: &Scenario) -> Vec<Scenario> {
    (0..scenario.faults.len())
        .filter(|index| scenario.faults[*index].duration > scenario.lease_length * 2)
        .map(|index| {
            let mut smaller = scenario.clone();
            smaller.faults[index].duration /= 2;
            smaller
        })
        .collect()
}
