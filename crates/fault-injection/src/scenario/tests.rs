//! Scenarios as written and read again.

use super::Scenario;
use std::time::Duration;

/// Times are written rounded, so that they are compared within 5 ms.
#[test]
fn written_schedule_reads_as_the_same_scenario() {
    let text = include_str!("../../../../deploy/trials/leases.yaml");
    let scenario = Scenario::read("leases.yaml", text)
        .expect("the scenario is valid")
        .with_schedule_of(7);
    let again =
        Scenario::read("again.yaml", &scenario.write()).expect("written scenarios are valid");
    assert_eq!(
        (again.faults.len(), again.random_faults, again.links),
        (4, 0, scenario.links)
    );
    for (fault, other) in scenario.faults.iter().zip(&again.faults) {
        assert_eq!((fault.kind, fault.target), (other.kind, other.target));
        assert!(
            fault.at.abs_diff(other.at) < Duration::from_millis(5),
            "{fault:?} and {other:?}"
        );
    }
}
