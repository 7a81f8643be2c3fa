//! Which requests call an overloaded counter, and for how many others each stands.

use crate::{harness_with_failing_counter, WINDOW};
use quartzcleat::api::{Outcome, RequestId};
use quartzcleat_test_support::actions::CounterCall;
use quartzcleat_test_support::engine::EngineHarness;
use quartzcleat_test_support::settings::{settings_with, IDEMPOTENT, MILLISECOND};
use std::ops::Range;

/// The units of a request in most of these tests.
const UNITS: f64 = 2.0;

/// One of a hundred limiters whose counter rejects two thirds of the calls.
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
fn call_of_infrequent_customer_stands_for_skipped_requests() {
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
    assert!((100..1_500).contains(&calls), "{calls} of 2,000 called");
    let counted_fraction = added / 4_000.0;
    assert!(
        (0.85..1.15).contains(&counted_fraction),
        "{counted_fraction} of the used units are counted"
    );
}

/// A request whose call stands for others too.
struct WeightedCall {
    id: RequestId,
    call: CounterCall,
}

/// The first of these customers' requests whose call stands for others.
fn weighted_call(harness: &mut EngineHarness, mut customers: Range<u64>) -> WeightedCall {
    let found = customers.find_map(|customer| {
        let request = harness.request(IDEMPOTENT, customer, UNITS);
        let call = request.actions.counter_call()?;
        (call.amount > 2.0 * UNITS).then_some(WeightedCall {
            id: request.id,
            call,
        })
    });
    found.expect("some call, and stand for others")
}

/// Others used 19 of 22 and it uses 2: within the limit, though the count is now higher. The weight of the previous window
/// is unknown, so it is read.
#[test]
fn weighted_add_is_judged_by_its_own_units() {
    let mut harness = harness_with_overloaded_counter();
    let WeightedCall { id, call } = weighted_call(&mut harness, 5_000..6_000);
    let reads = harness.reply_with_total(&call.name, 19.0 + call.amount);
    assert_eq!(reads.rejection(id), None);
}

#[test]
fn rejected_weighted_add_is_refunded_whole() {
    let mut harness = harness_with_overloaded_counter();
    let WeightedCall { id, call } = weighted_call(&mut harness, 6_000..9_000);
    let actions = harness.reply_with_total(&call.name, 21.5 + call.amount);
    assert!(actions.is_rejected(id));
    assert_eq!(
        actions.counter_call(),
        Some(CounterCall::new(&call.name, -call.amount))
    );
}

/// How many customers pass without a call, by the number of their request.
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

/// The sixth request at once is far beyond the share of one of a hundred limiters.
#[test]
fn infrequent_customer_over_its_share_is_rejected_without_call() {
    let mut harness = harness_with_overloaded_counter();
    let passed = passes_without_call(&mut harness);
    assert!(
        passed[0] > 100,
        "a customer not seen before passes: {passed:?}"
    );
    assert_eq!(passed[5], 0);
}

/// Whether a request calls the counter, which does not reply.
fn calls_counter(harness: &mut EngineHarness, customer: u64, units: f64) -> bool {
    let request = harness.request(IDEMPOTENT, customer, units);
    let Some(call) = request.actions.counter_call() else {
        return false;
    };
    harness.fail_call(&call.name, Outcome::Timeout);
    true
}

#[test]
fn overloaded_counter_is_called_by_largest_needs() {
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
        "{large} of 400 requests of 4 units, {small} of 400 of half a unit"
    );
}

/// At the end of a window the previous one weighs next to nothing; of 50 units 47 are used.
#[test]
fn calling_request_is_judged_by_the_whole_quota() {
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
