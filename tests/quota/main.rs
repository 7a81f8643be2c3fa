//! Quota over two windows, and the verdicts while the counter is degraded. With a rate of 12.5 and a burst of 40 the
//! window is 4 s long and refills by 50 units; the credit at its start is 22 at most. The tests start at the edge of a
//! window.

mod call_sampling;
mod counting;
mod degraded_counter;

use quartzcleat::api::{Nanos, Outcome};
use quartzcleat_test_support::engine::EngineHarness;
use quartzcleat_test_support::settings::{settings, IDEMPOTENT, SECOND};

/// The length of a window of the plan.
const WINDOW: Nanos = 4 * SECOND;
/// The customer of most tests.
const CUSTOMER: u64 = 5;
/// The name of its count in the window in which a harness starts.
const FIRST_WINDOW: &str = "q5.250";
/// The name of its count in the window before.
const WINDOW_BEFORE: &str = "q5.249";
/// The name of its count in the window after.
const SECOND_WINDOW: &str = "q5.251";

/// How many of some requests, each of another customer, call the counter when all calls end with an outcome.
fn calling_requests(harness: &mut EngineHarness, requests: u64, outcome: Outcome) -> usize {
    let mut calls = 0;
    for customer in 0..requests {
        let request = harness.request(IDEMPOTENT, 1000 + customer, 1.0);
        if let Some(call) = request.actions.counter_call() {
            calls += 1;
            harness.end_call(&call.name, outcome, call.amount);
        }
    }
    calls
}

/// A limiter that has learned that its counter does not reply, and calls it for a part of the requests.
fn harness_with_failing_counter(hosts: u32) -> EngineHarness {
    let mut harness = EngineHarness::new(settings(), hosts);
    calling_requests(&mut harness, 100, Outcome::Timeout);
    harness
}
