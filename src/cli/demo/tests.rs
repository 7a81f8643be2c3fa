//! Tests of the demo's scenario.

use super::*;
use quartzcleat_simulation::oracle::FirstOption;

#[test]
fn scenario_is_valid_and_holds_in_the_simulation() {
    let mut compiled = compile_scenario().unwrap_or_else(|faults| panic!("{faults}"));
    compiled.scenario.variant = Some(0);
    let run = quartzcleat_simulation::simulate(&compiled.scenario, &mut FirstOption);
    assert!(run.is_complete);
    let judgement = judge(&compiled, &run.records, 0);
    assert_eq!(judgement.failure, None);
    let evaluations = judgement.evaluations;
    assert!(
        evaluations
            .iter()
            .all(|evaluation| evaluation.exercised > 0),
        "{evaluations:?}"
    );
}
