//! Tests of shrinking scenarios whose failure depends on certain faults.

use super::*;

/// Returns a scenario with thirty limiters and several faults.
fn large_scenario() -> Scenario {
    let text = include_str!("../../../../deploy/trials/thirty.yaml");
    Scenario::read("thirty.yaml", text)
        .expect("the scenario is valid")
        .with_schedule_of(3)
}

#[test]
fn shrinking_keeps_the_fault_that_a_failure_needs_and_removes_all_else() {
    let scenario = large_scenario();
    let kind = scenario.faults[2].kind;
    let small = shrink(scenario.clone(), |candidate| {
        candidate.faults.iter().any(|fault| fault.kind == kind)
    });
    assert_eq!(
        (small.faults.len(), small.limiters, small.acceptors),
        (1, 3, 3)
    );
    assert_eq!(small.faults[0].kind, kind);
    assert!(
        small.duration < scenario.duration && small.faults[0].duration <= scenario.lease_length * 2
    );
}

#[test]
fn shrinking_runs_few_candidates() {
    let scenario = large_scenario();
    let kind = scenario.faults[2].kind;
    let mut runs = 0;
    shrink(scenario, |candidate| {
        runs += 1;
        candidate.faults.iter().any(|fault| fault.kind == kind)
    });
    assert!(runs < 60, "{runs} candidates were run");
}

#[test]
fn scenario_that_always_fails_loses_all_faults() {
    assert!(shrink(large_scenario(), |_| true).faults.is_empty());
}

#[test]
fn scenario_that_never_fails_again_is_unchanged() {
    let scenario = large_scenario();
    assert_eq!(shrink(scenario.clone(), |_| false), scenario);
}
