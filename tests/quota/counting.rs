//! Counts of two windows at the counter, and the verdicts based on them.

use crate::{CUSTOMER, FIRST_WINDOW, PREVIOUS_WINDOW, SECOND_WINDOW, WINDOW};
use quartzcleat::api::{Event, Outcome};
use quartzcleat_test_support::actions::CounterCall;
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    settings, settings_with, IDEMPOTENT, MILLISECOND, SECOND, UNSAFE,
};

fn add_in_first_window(amount: f64) -> CounterCall {
    CounterCall::new(FIRST_WINDOW, amount)
}

#[test]
fn add_precedes_the_verdict() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.now += 3_600 * MILLISECOND;
    let request = harness.request(IDEMPOTENT, CUSTOMER, 3.0);
    assert_eq!(
        request.actions.counter_call(),
        Some(add_in_first_window(3.0))
    );
    assert_eq!(request.actions.attempt(), None);
    let actions = harness.reply_with_total(FIRST_WINDOW, 44.0);
    assert_eq!(actions.attempted_request(), Some(request.id));
}

#[test]
fn rejected_add_is_refunded_with_retry_after_at_window_end() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.now += SECOND;
    let request = harness.request(IDEMPOTENT, CUSTOMER, 3.0);
    let actions = harness.reply_with_total(FIRST_WINDOW, 61.0);
    assert_eq!(actions.rejection(request.id), Some(WINDOW - SECOND));
    assert_eq!(actions.counter_call(), Some(add_in_first_window(-3.0)));
    assert_eq!(actions.attempt(), None);
}

/// In the middle of a window, half of its refill is available.
#[test]
fn request_within_the_refill_passes_regardless_of_previous_use() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.now += WINDOW / 2;
    let request = harness.request(IDEMPOTENT, CUSTOMER, 4.0);
    let actions = harness.reply_with_total(FIRST_WINDOW, 25.0);
    assert_eq!(actions.attempted_request(), Some(request.id));
}

/// Other limiters used the previous window's refill and all credit.
#[test]
fn spent_quota_still_rejects_half_a_window_later() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.now += WINDOW / 2;
    harness.request(IDEMPOTENT, CUSTOMER, 4.0);
    harness.reply_with_total(FIRST_WINDOW, 25.0);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let actions = harness.reply_with_total(FIRST_WINDOW, 26.0);
    assert_eq!(
        actions.counter_call(),
        Some(CounterCall::new(PREVIOUS_WINDOW, 0.0)),
        "the verdict depends on the previous window"
    );
    let actions = harness.reply_with_total(PREVIOUS_WINDOW, 72.0);
    assert_eq!(actions.rejection(request.id), Some(WINDOW / 2));
}

/// A second request waits for the pending read; a third request after the reply needs no read.
#[test]
fn previous_window_is_read_once() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.now += WINDOW / 2;
    harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let reads = harness.reply_with_total(FIRST_WINDOW, 35.0);
    assert_eq!(
        reads.counter_call(),
        Some(CounterCall::new(PREVIOUS_WINDOW, 0.0))
    );
    harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let waits = harness.reply_with_total(FIRST_WINDOW, 36.0);
    assert_eq!(waits.counter_call(), None);
    let actions = harness.reply_with_total(PREVIOUS_WINDOW, 10.0);
    assert_eq!(actions.attempts().count(), 2);
    harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let actions = harness.reply_with_total(FIRST_WINDOW, 37.0);
    assert_eq!(actions.counter_call(), None);
    assert!(actions.attempt().is_some());
}

/// The harness starts at 1000 s, a window boundary.
#[test]
fn customer_over_quota_causes_no_call_until_its_estimate_falls() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    harness.reply_with_total(FIRST_WINDOW, 70.0);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    assert_eq!(request.actions.counter_call(), None);
    assert_eq!(request.actions.rejection(request.id), Some(WINDOW));
}

/// The count restarts at zero, although this limiter alone had added 5 units.
#[test]
fn counter_that_lost_its_counts_grants_no_new_quota() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.send(IDEMPOTENT, CUSTOMER);
    harness.request(IDEMPOTENT, CUSTOMER, 4.0);
    harness.reply_with_total(FIRST_WINDOW, 21.0);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 4.0);
    let actions = harness.reply_with_total(FIRST_WINDOW, 4.0);
    assert!(actions.is_rejected(request.id));
}

/// Calls that the counter processes out of order return decreasing totals although no count was lost: the first call is
/// counted last, after 3 other calls of this limiter, and their replies carry lower totals. Of 25 units 17 are used.
#[test]
fn calls_out_of_order_are_not_detected_as_lost_counts() {
    let mut harness = EngineHarness::new(settings(), 4);
    for _ in 0..4 {
        harness.request(IDEMPOTENT, CUSTOMER, 4.0);
    }
    for total in [16.0, 4.0, 8.0, 12.0] {
        harness.reply_with_total(FIRST_WINDOW, total);
    }
    harness.now += WINDOW / 2;
    let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let actions = harness.reply_with_total(FIRST_WINDOW, 17.0);
    assert_eq!(actions.attempted_request(), Some(request.id));
}

#[test]
fn rejected_call_is_counted_once() {
    let mut harness = EngineHarness::new(settings(), 2);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 3.0);
    let actions = harness.fail_call(FIRST_WINDOW, Outcome::Rejected);
    assert_eq!(actions.attempted_request(), Some(request.id));
    let next = harness.request(IDEMPOTENT, CUSTOMER, 3.0);
    assert_eq!(next.actions.counter_call(), Some(add_in_first_window(6.0)));
}

/// Sends requests of 2 units at the start of a window until one is rejected, and returns the units that passed. `used`
/// is the total of the previous window.
fn units_passed_after(harness: &mut EngineHarness, used: f64) -> f64 {
    let window = harness.now / WINDOW;
    let count = format!("q{CUSTOMER}.{window}");
    let previous_count = format!("q{CUSTOMER}.{}", window - 1);
    let mut total = 0.0;
    loop {
        let request = harness.request(IDEMPOTENT, CUSTOMER, 2.0);
        let mut actions = harness.reply_with_total(&count, total + 2.0);
        let reads_previous_window = actions
            .counter_call()
            .is_some_and(|call| call.name == previous_count);
        if reads_previous_window {
            actions = harness.reply_with_total(&previous_count, used);
        }
        if actions.is_rejected(request.id) {
            harness.reply_with_total(&count, total);
            return total;
        }
        total += 2.0;
    }
}

#[test]
fn credit_depends_on_the_previous_window() {
    for (used, left) in [
        (0.0, 22.0),
        (50.0, 22.0),
        (60.0, 12.0),
        (72.0, 0.0),
        (200.0, 0.0),
    ] {
        let mut harness = EngineHarness::new(settings(), 2);
        assert_eq!(
            units_passed_after(&mut harness, used),
            left,
            "{used} units were used in the previous window"
        );
    }
}

/// Returns a limiter in a window whose refill is used, after a window that began with a burst.
fn harness_after_burst() -> EngineHarness {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    harness.reply_with_total(FIRST_WINDOW, 68.0);
    harness.reply_with_total(FIRST_WINDOW, 68.0);
    harness.now += WINDOW;
    let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
    let actions = harness.reply_with_total(SECOND_WINDOW, 50.0);
    assert!(
        actions.is_rejected(request.id),
        "4 of 22 units of credit are left"
    );
    harness.reply_with_total(SECOND_WINDOW, 50.0);
    harness
}

#[test]
fn customer_at_its_rate_after_a_burst_has_no_credit_left() {
    let mut harness = harness_after_burst();
    harness.now += WINDOW;
    assert_eq!(
        units_passed_after(&mut harness, 50.0),
        4.0,
        "the refill of the window was used within it"
    );
}

#[test]
fn credit_is_full_after_a_window_without_use() {
    let mut harness = harness_after_burst();
    harness.now += WINDOW;
    units_passed_after(&mut harness, 50.0);
    harness.now += 2 * WINDOW;
    assert_eq!(units_passed_after(&mut harness, 0.0), 22.0);
}

#[test]
fn request_abandoned_before_its_verdict_is_refunded() {
    let mut harness = EngineHarness::new(settings(), 2);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 3.0);
    let actions = harness.handle(Event::Abandoned { id: request.id });
    assert_eq!(actions.counter_call(), Some(add_in_first_window(-3.0)));
}

/// The replies to the add and to the refund do not lead to a verdict.
#[test]
fn replies_for_an_abandoned_request_change_nothing() {
    let mut harness = EngineHarness::new(settings(), 2);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 3.0);
    harness.handle(Event::Abandoned { id: request.id });
    assert_eq!(*harness.reply_with_total(FIRST_WINDOW, 3.0), []);
    assert_eq!(*harness.reply_with_total(FIRST_WINDOW, 0.0), []);
}

#[test]
fn request_abandoned_in_the_queue_is_refunded_once() {
    let mut harness = EngineHarness::new(settings(), 0);
    let request = harness.request(IDEMPOTENT, CUSTOMER, 3.0);
    let actions = harness.reply_with_total(FIRST_WINDOW, 3.0);
    assert_eq!(actions.attempt(), None, "there is no host");
    let actions = harness.handle(Event::Abandoned { id: request.id });
    assert_eq!(actions.counter_call(), Some(add_in_first_window(-3.0)));
    assert_eq!(*harness.handle(Event::Abandoned { id: request.id }), []);
}

#[test]
fn abandoned_request_that_may_run_is_not_refunded() {
    let mut harness = EngineHarness::new(settings(), 2);
    let sent = harness.send(IDEMPOTENT, CUSTOMER);
    let actions = harness.handle(Event::Abandoned { id: sent.id });
    assert_eq!(actions.counter_call(), None);
    let reset = EndedAttempt::new(sent.id, sent.host, Outcome::Reset);
    let actions = harness.end_attempt(reset.of_finished_request());
    assert_eq!(actions.counter_call(), None);
}

#[test]
fn request_whose_connection_failed_is_refunded() {
    let settings = settings_with(|settings| settings.attempts.max_per_request = 1);
    let mut harness = EngineHarness::new(settings, 2);
    let sent = harness.send(UNSAFE, CUSTOMER);
    let actions = harness.fail(sent, Outcome::ConnectFailed);
    assert!(actions.is_rejected(sent.id));
    assert_eq!(actions.counter_call(), Some(add_in_first_window(-1.0)));
}

/// Test case with a request of a customer that has used up its quota.
struct RequestBeyondQuota {
    over_quota_weight: f64,
    hosts: u32,
    passes: bool,
}

/// The request is refunded whether it passes or not.
#[test]
fn use_beyond_the_quota_needs_weight_above_cost_and_an_idle_host() {
    for case in [
        RequestBeyondQuota {
            over_quota_weight: 0.2,
            hosts: 2,
            passes: true,
        },
        RequestBeyondQuota {
            over_quota_weight: 0.0,
            hosts: 2,
            passes: false,
        },
        RequestBeyondQuota {
            over_quota_weight: 0.2,
            hosts: 0,
            passes: false,
        },
    ] {
        let settings = settings_with(|settings| {
            settings.plans[0].over_quota_weight = case.over_quota_weight;
        });
        let mut harness = EngineHarness::new(settings, case.hosts);
        let request = harness.request(IDEMPOTENT, CUSTOMER, 1.0);
        let actions = harness.reply_with_total(FIRST_WINDOW, 70.0);
        assert_eq!(actions.attempt().is_some(), case.passes);
        assert_eq!(actions.is_rejected(request.id), !case.passes);
        assert_eq!(actions.counter_call(), Some(add_in_first_window(-1.0)));
    }
}
