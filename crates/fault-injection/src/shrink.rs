//! Shrinks a failing scenario: fewer faults, fewer limiters, shorter faults, an earlier end. It knows no processes: the
//! caller runs a smaller scenario and returns whether it still fails.

use crate::Scenario;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The fewest acceptors whose majority survives the loss of one.
const MIN_VOTERS: usize = 3;

/// Shrinks a scenario as long as it still fails. `fails` should run it more than once, since processes never run the same
/// way twice.
pub fn shrink(scenario: Scenario, mut fails: impl FnMut(&Scenario) -> bool) -> Scenario {
    let mut smallest = scenario;
    while let Some(smaller) = candidates(&smallest).into_iter().find(&mut fails) {
        smallest = smaller;
    }
    smallest
}

/// The scenarios that are one step smaller, the largest steps first.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    candidates.extend(with_half_of_the_faults(scenario));
    candidates.extend(with_one_fault_less(scenario));
    candidates.extend(with_fewer_limiters(scenario));
    candidates.extend(with_fewer_voters(scenario));
    candidates.extend(with_earlier_end(scenario));
    candidates.extend(with_shorter_faults(scenario));
    candidates
}

fn with_half_of_the_faults(scenario: &Scenario) -> Vec<Scenario> {
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

fn with_one_fault_less(scenario: &Scenario) -> Vec<Scenario> {
    (0..scenario.faults.len())
        .map(|index| {
            let mut smaller = scenario.clone();
            smaller.faults.remove(index);
            smaller
        })
        .collect()
}

/// Only limiters that do not vote are removed.
fn with_fewer_limiters(scenario: &Scenario) -> Vec<Scenario> {
    [scenario.voters, scenario.limiters.div_ceil(2)]
        .into_iter()
        .filter(|limiters| (scenario.voters..scenario.limiters).contains(limiters))
        .map(|limiters| Scenario {
            limiters,
            ..scenario.clone()
        })
        .collect()
}

fn with_fewer_voters(scenario: &Scenario) -> Option<Scenario> {
    (scenario.voters > MIN_VOTERS).then(|| Scenario {
        voters: MIN_VOTERS,
        ..scenario.clone()
    })
}

/// Two leases after the end of the last fault nothing happens any more.
fn with_earlier_end(scenario: &Scenario) -> Option<Scenario> {
    let faults_over: Duration = scenario
        .faults
        .iter()
        .map(|fault| fault.at + fault.duration)
        .max()
        .unwrap_or_default();
    let duration = faults_over + scenario.lease_length * 2;
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
