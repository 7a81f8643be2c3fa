//! Sampling of the requests that call an overloaded counter, and the weight of their calls.

use crate::{harness_with_failing_counter, WINDOW};
use quartzcleat::api::{Outcome, RequestId};
use quartzcleat_test_support::actions::CounterCall;
use quartzcleat_test_support::engine::EngineHarness;
use quartzcleat_test_support::settings::{settings_with, IDEMPOTENT, MILLISECOND};
use std::ops::Range;

/// Units of a request in most of these tests.
const UNITS: f64 = 2.0;

/// Returns one of 100 limiters, after its counter has rejected two thirds of the calls.
fn harness_with_overloaded_counter() -> EngineHarness {
    let settings = settings_with(|settings| settings.limiters.count = 100);
    let mut harness = EngineHarness::new(settings, 2);
    harness.spread = 100;
    for customer in 1_000..1_060 {
        let request = harness.request(IDEMPOTENT, customer, UNITS);
        if let Some(call) = request.actions.counter_call() {
            let outcome = if customer % 3 == 0 {
                Outcome::Good
            } else {
                Outcome::Rejected
            };
            harness.end_call(&call.name, outcome, UNITS);
        }
    }
    harness
}

#[test]
fn call_of_infrequent_customer_represents_skipped_requests() {
    let mut harness = harness_with_overloaded_counter();
    let mut calls = 0;
    let mut added = 0.0;
    for customer in 2_000..4_000 {
        let request = harness.request(IDEMPOTENT, customer, UNITS);
        if let Some(call) = request.actions.counter_call() {
            calls += 1;
            added += call.amount;
        }
    }
    assert!(
        (100..1_500).contains(&calls),
        "{calls} of 2,000 requests called the counter"
    );
    let counted_fraction = added / 4_000.0;
    assert!(
        (0.85..1.15).contains(&counted_fraction),
        "fraction of the used units that is counted: {counted_fraction}"
    );
}

/// A request whose counter call also represents other requests.
struct WeightedCall {
    id: RequestId,
    call: CounterCall,
}

/// Sends a request for each of `customers` until a call also represents other requests, and returns it.
fn weighted_call(harness: &mut EngineHarness, mut customers: Range<u64>) -> WeightedCall {
    let found = customers.find_map(|customer| {
        let request = harness.request(IDEMPOTENT, customer, UNITS);
        let call = request.actions.counter_call()?;
        (call.amount > 2.0 * UNITS).then_some(WeightedCall {
            id: request.id,
            call,
        })
    });
    found.expect("a call that represents other requests")
}

/// Others used 19 of 22 units and the request uses 2, which is within the limit although the weighted add raises the
/// count further. The previous total is unknown, so it is read.
#[test]
fn weighted_add_is_checked_by_its_own_units() {
    let mut harness = harness_with_overloaded_counter();
    let WeightedCall { id, call } = weighted_call(&mut harness, 5_000..6_000);
    let reads = harness.reply_with_total(&call.name, 19.0 + call.amount);
    assert_eq!(reads.rejection(id), None);
}

#[test]
fn rejected_weighted_add_is_refunded_in_full() {
    let mut harness = harness_with_overloaded_counter();
    let WeightedCall { id, call } = weighted_call(&mut harness, 6_000..9_000);
    let actions = harness.reply_with_total(&call.name, 21.5 + call.amount);
    assert!(actions.is_rejected(id));
    assert_eq!(
        actions.counter_call(),
        Some(CounterCall::new(&call.name, -call.amount))
    );
}

/// Sends six requests for each of 400 customers. Returns how many customers passed without a counter call at their
/// first, second, ... sixth request.
fn passes_without_call(harness: &mut EngineHarness) -> [usize; 6] {
    let mut passed = [0; 6];
    for customer in 10_000..10_400 {
        for passed_at_this_request in &mut passed {
            let request = harness.request(IDEMPOTENT, customer, UNITS);
            if let Some(call) = request.actions.counter_call() {
                harness.fail_call(&call.name, Outcome::Rejected);
            } else if !request.actions.is_rejected(request.id) {
                *passed_at_this_request += 1;
            }
        }
    }
    passed
}

/// Six requests at the same time far exceed the share of one of 100 limiters.
#[test]
fn infrequent_customer_over_its_share_is_rejected_without_call() {
    let mut harness = harness_with_overloaded_counter();
    let passed = passes_without_call(&mut harness);
    assert!(
        passed[0] > 100,
        "new customers pass; passed by request: {passed:?}"
    );
    assert_eq!(passed[5], 0);
}

/// Sends a request and returns whether it calls the counter, which does not reply.
fn calls_counter(harness: &mut EngineHarness, customer: u64, units: f64) -> bool {
    let request = harness.request(IDEMPOTENT, customer, units);
    let Some(call) = request.actions.counter_call() else {
        return false;
    };
    harness.fail_call(&call.name, Outcome::Timeout);
    true
}

#[test]
fn requests_of_more_units_call_an_overloaded_counter_more_often() {
    let mut harness = harness_with_failing_counter(2);
    let mut small = 0;
    let mut large = 0;
    for number in 0..400 {
        let customer = 5000 + 10 * number;
        small += usize::from(calls_counter(&mut harness, customer, 0.5));
        large += usize::from(calls_counter(&mut harness, customer + 4, 4.0));
    }
    assert!(
        small > 0 && large > 3 * small,
        "calls: {large} of 400 requests of 4 units, {small} of 400 requests of 0.5 units"
    );
}

/// At the end of a window the previous total has almost no weight, and 47 of 50 units are used.
#[test]
fn request_with_counter_reply_is_checked_by_the_full_quota() {
    let mut harness = harness_with_failing_counter(2);
    harness.now += WINDOW - MILLISECOND;
    let has_passed = (0..400).find_map(|customer| {
        let request = harness.request(IDEMPOTENT, 5000 + customer, 4.0);
        let call = request.actions.counter_call()?;
        let actions = harness.reply_with_total(&call.name, 47.0);
        Some(!actions.is_rejected(request.id))
    });
    assert_eq!(has_passed, Some(true));
}
