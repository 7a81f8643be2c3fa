use super::{LoadShedder, MIN_ADMISSION_RATIO};
use crate::time::SECOND;

/// Returns a load shedder after one answer with this objective ratio in each of `seconds` seconds.
fn after_answers(objective_ratio: f64, seconds: u64) -> LoadShedder {
    let mut shedder = LoadShedder::new(0);
    for second in 1..=seconds {
        shedder.record_answer(objective_ratio, second * SECOND);
    }
    shedder
}

#[test]
fn prompt_answers_shed_nothing() {
    let shedder = after_answers(0.2, 20);
    assert_eq!(shedder.admission_ratio(), 1.0);
    assert_eq!(shedder.admission_probability(1.0), None);
}

#[test]
fn late_answers_lower_the_ratio_to_its_bound() {
    assert!(after_answers(0.9, 3).admission_ratio() < 0.7);
    assert_eq!(
        after_answers(1.0, 60).admission_ratio(),
        MIN_ADMISSION_RATIO
    );
}

#[test]
fn prompt_answers_restore_the_ratio() {
    let mut shedder = after_answers(0.9, 10);
    for second in 11..60 {
        shedder.record_answer(0.05, second * SECOND);
    }
    assert_eq!(shedder.admission_ratio(), 1.0);
}

#[test]
fn requests_with_more_weight_per_work_are_shed_less() {
    let mut shedder = after_answers(0.9, 5);
    for _ in 0..100 {
        shedder.record_arrival(2.0);
    }
    let light = shedder.admission_probability(1.0).expect("load is shed");
    let heavy = shedder.admission_probability(4.0).expect("load is shed");
    assert!(light < shedder.admission_ratio() && shedder.admission_ratio() < heavy);
}

#[test]
fn missed_objective_counts_little_while_successes_are_prompt() {
    let mut shedder = LoadShedder::new(0);
    for _ in 0..100 {
        shedder.record_success(0.03);
    }
    assert!(shedder.missed_objective_ratio() < 0.11);
    for _ in 0..100 {
        shedder.record_success(7.0);
    }
    assert_eq!(shedder.missed_objective_ratio(), 1.0);
}
