//! Variations of a compiled expectation's steps.

use crate::compile::CompiledExpectation;
use quartzcleat_decision::api::Nanos;
use quartzcleat_simulation::scenario::{ClientRequest, ScenarioEvent, Step};

/// Number of the first operation of added requests, above those of any expectation.
const FIRST_ADDED_OPERATION: u64 = 1_000_001;
/// Interval between a request and those added to it, in nanoseconds (1 ms).
const ADDED_REQUEST_INTERVAL: Nanos = 1_000_000;

/// Returns the expectation without one of its steps.
pub(super) fn without_step(compiled: &CompiledExpectation, index: usize) -> CompiledExpectation {
    let mut compiled = compiled.clone();
    compiled.scenario.steps.remove(index);
    compiled
}

/// Returns the expectation with `factor` times the requests.
pub(super) fn scaled_requests(compiled: &CompiledExpectation, factor: f64) -> CompiledExpectation {
    let mut compiled = compiled.clone();
    let steps = &mut compiled.scenario.steps;
    if factor >= 1.0 {
        add_requests(steps, factor as u64);
    } else {
        thin_out_requests(steps, factor);
    }
    compiled
}

/// Adds requests of other operations after each request, [`ADDED_REQUEST_INTERVAL`] apart, so that there are `multiple`
/// of each.
fn add_requests(steps: &mut Vec<Step>, multiple: u64) {
    let mut operation = FIRST_ADDED_OPERATION;
    let mut added = Vec::new();
    for step in steps.iter() {
        let ScenarioEvent::Request(request) = &step.event else {
            continue;
        };
        for number in 1..multiple {
            let request = ClientRequest {
                operation,
                ..request.clone()
            };
            operation += 1;
            let delay = number * ADDED_REQUEST_INTERVAL;
            added.push(Step {
                moments: step.moments.iter().map(|moment| moment + delay).collect(),
                event: ScenarioEvent::Request(request),
                reorder_group: None,
            });
        }
    }
    steps.extend(added);
    steps.sort_by_key(|step| step.moments.first().copied().unwrap_or(0));
}

/// Keeps only this share of the requests, spread evenly.
fn thin_out_requests(steps: &mut Vec<Step>, share: f64) {
    let mut seen = 0.0;
    let mut retained = 0.0;
    steps.retain(|step| {
        if !matches!(step.event, ScenarioEvent::Request(_)) {
            return true;
        }
        seen += 1.0;
        let is_retained = retained < seen * share;
        if is_retained {
            retained += 1.0;
        }
        is_retained
    });
}
