//! Shrinking with failures that need certain faults.

use super::*;

#[test]
fn shrinking_keeps_what_a_failure_needs_and_removes_all_else() {
    let text = include_str!("../../../../deploy/trials/thirty.yaml");
    let scenario = Scenario::read("thirty.yaml", text)
        .expect("the scenario is valid")
        .with_schedule_of(3);
    let kind = scenario.faults[2].kind;
    let needed = |scenario: &Scenario| scenario.faults.iter().any(|fault| fault.kind == kind);
    let mut runs = 0;
    let small = shrink(scenario.clone(), |candidate| {
        runs += 1;
        needed(candidate)
    });
    assert_eq!(
        (small.faults.len(), small.limiters, small.voters),
        (1, 3, 3)
    );
    assert_eq!(small.faults[0].kind, kind);
    assert!(
        small.duration < scenario.duration && small.faults[0].duration <= scenario.lease_length * 2
    );
    assert!(runs < 60, "{runs} candidates were run");
    // A scenario that always fails loses all its faults; one that does not fail again stays as it is.
    assert!(shrink(scenario.clone(), |_| true).faults.is_empty());
    assert_eq!(shrink(scenario.clone(), |_| false), scenario);
}
