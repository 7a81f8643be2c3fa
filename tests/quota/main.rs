//! Quota enforcement over two windows, and decisions while the counter is degraded.
//!
//! The plan has a rate of 12.5 units per second and a burst of 40 units: a window is 4 s long and refills by 50 units,
//! and the credit at its start is at most 22 units. The tests start at a window boundary.

mod call_sampling;
mod counting;
mod customers;
mod degraded_counter;

use quartzcleat::api::{Nanos, Outcome};
use quartzcleat_test_support::engine::EngineHarness;
use quartzcleat_test_support::settings::{settings, IDEMPOTENT, SECOND};

/// Length of a window of the plan.
const WINDOW: Nanos = 4 * SECOND;
/// Customer of most tests.
const CUSTOMER: u64 = 5;
/// Name of the customer's count in the window in which a test starts.
const FIRST_WINDOW: &str = "q5.250";
/// Name of the customer's count in the previous window.
const PREVIOUS_WINDOW: &str = "q5.249";
/// Name of the customer's count in the next window.
const SECOND_WINDOW: &str = "q5.251";

/// Sends `requests` requests, each of a different customer, and ends all counter calls with `outcome`. Returns the
/// number of requests that call the counter.
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

/// Returns a limiter whose counter has not replied to 100 requests, so that it calls it only for some requests.
fn harness_with_failing_counter(hosts: u32) -> EngineHarness {
    let mut harness = EngineHarness::new(settings(), hosts);
    calling_requests(&mut harness, 100, Outcome::Timeout);
    harness
}
