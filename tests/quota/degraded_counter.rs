//! Verdicts while the counter is slow, failing or not available.

use crate::{calling_requests, harness_with_failing_counter, CUSTOMER, FIRST_WINDOW};
use quartzcleat::api::{Action, Outcome};
use quartzcleat_test_support::engine::EngineHarness;
use quartzcleat_test_support::settings::{
    settings, settings_with, IDEMPOTENT, MILLISECOND, SECOND,
};

#[test]
fn requests_pass_without_counter_reply() {
    let mut harness = EngineHarness::new(settings(), 2);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let wait = request.actions.counter_wait().expect("a call was made");
    harness.now += 50 * MILLISECOND;
    assert_eq!(harness.fire(wait).attempted_request(), Some(request.id));
}

#[test]
fn late_counter_reply_changes_nothing() {
    let mut harness = EngineHarness::new(settings(), 2);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let wait = request.actions.counter_wait().expect("a call was made");
    harness.now += 50 * MILLISECOND;
    harness.fire(wait);
    let actions = harness.fail_call(FIRST_WINDOW, Outcome::Timeout);
    assert!(actions
        .iter()
        .all(|action| matches!(action, Action::Log { .. })));
}

#[test]
fn customer_known_to_be_over_quota_does_not_pass_without_counter_reply() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    harness.reply_with_total(FIRST_WINDOW, 70.0);
    harness.fail_call(FIRST_WINDOW, Outcome::Timeout);
    harness.now += SECOND / 2;
    let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    assert!(request.actions.is_rejected(request.id));
}

#[test]
fn few_requests_call_a_failing_counter() {
    let mut harness = harness_with_failing_counter(2);
    let calls = calling_requests(&mut harness, 200, Outcome::Timeout);
    assert!(
        (1..=40).contains(&calls),
        "{calls} of 200 requests called a counter that never replies"
    );
}

#[test]
fn all_requests_call_a_counter_that_has_recovered() {
    let mut harness = harness_with_failing_counter(2);
    calling_requests(&mut harness, 200, Outcome::Timeout);
    calling_requests(&mut harness, 300, Outcome::Good);
    assert_eq!(calling_requests(&mut harness, 50, Outcome::Good), 50);
}

/// With 100 limiters and a limit of 60 units, each limiter may grant its first request and then 0.15 units per second.
/// The `retry_after` is short, because another limiter may still have units when this one has used up its share.
#[test]
fn limiters_without_counter_grant_only_their_shares() {
    let settings = settings_with(|settings| {
        settings.counter.is_available = false;
        settings.limiters.count = 100;
    });
    let mut harness = EngineHarness::new(settings, 40);
    harness.spread = 100;
    let mut passed = 0;
    for _ in 0..100 {
        harness.now += SECOND / 10;
        let request = harness.request(IDEMPOTENT, CUSTOMER, 4.0);
        let rejection = request.actions.rejection(request.id);
        passed += usize::from(rejection.is_none());
        assert!(rejection.is_none_or(|retry_after| retry_after == SECOND / 4));
    }
    assert!(
        (1..=2).contains(&passed),
        "{passed} requests of 4 units passed in 10 s"
    );
}

#[test]
fn limiter_without_counter_service_enforces_its_local_share() {
    let settings = settings_with(|settings| settings.counter.is_available = false);
    let mut harness = EngineHarness::new(settings, 40);
    let mut passed = 0;
    for _ in 0..30 {
        let request = harness.request(IDEMPOTENT, CUSTOMER, 4.0);
        assert_eq!(request.actions.counter_call(), None);
        passed += usize::from(!request.actions.is_rejected(request.id));
    }
    assert!(
        (6..=12).contains(&passed),
        "{passed} requests of 4 units passed, expected between half of 50 units and all of them"
    );
}

/// Without counter replies, a limiter that shares its customers with one other limiter grants half of the 50 units that
/// refill in a window, and no credit.
#[test]
fn limiter_grants_no_credit_on_unknown_totals() {
    let mut harness = harness_with_failing_counter(40);
    let mut passed_units = 0.0;
    for _ in 0..30 {
        let request = harness.request(IDEMPOTENT, CUSTOMER, 2.0);
        let actions = match request.actions.counter_call() {
            Some(call) => harness.fail_call(&call.name, Outcome::Rejected),
            None => request.actions,
        };
        if !actions.is_rejected(request.id) {
            passed_units += 2.0;
        }
    }
    assert!(
        (18.0..=27.0).contains(&passed_units),
        "{passed_units} units passed"
    );
}
