//! Settlement of estimated units.

use quartzcleat::api::Settings;
use quartzcleat_test_support::actions::{Actions, CounterCall};
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{settings_with, IDEMPOTENT};

/// Settings under which requests state estimates.
fn settings_with_estimates(change: impl FnOnce(&mut Settings)) -> Settings {
    settings_with(|settings| {
        settings.units.are_estimates = true;
        change(settings);
    })
}

/// Serves a request with an estimate of one unit, whose answer states its true units.
fn settle(harness: &mut EngineHarness, true_units: f64) -> Actions {
    let sent = harness.send(IDEMPOTENT, 5);
    harness.end_attempt(EndedAttempt {
        true_units,
        ..EndedAttempt::good(sent.id, sent.host)
    })
}

/// Units beyond the largest request and units that make no sense are bounded.
#[test]
fn settlement_joins_the_next_add_up_to_the_largest_request() {
    for (true_units, next_add) in [
        (3.5, 3.5),
        (0.5, 0.5),
        (400.0, 4.0),
        (-3.0, 1.0),
        (f64::NAN, 1.0),
    ] {
        let mut harness = EngineHarness::new(settings_with_estimates(|_| ()), 2);
        let actions = settle(&mut harness, true_units);
        assert_eq!(actions.counter_call(), None, "no call of its own");
        let next = harness.request(IDEMPOTENT, 5, 1.0).actions;
        assert_eq!(
            next.counter_call(),
            Some(CounterCall::new("q5.250", next_add)),
            "an estimate of 1, then {true_units}, and 1 more"
        );
    }
}

#[test]
fn settlement_of_infrequent_customer_is_sent_at_once() {
    let settings = settings_with_estimates(|settings| settings.limiters.count = 100);
    let mut harness = EngineHarness::new(settings, 2);
    harness.spread = 100;
    let actions = settle(&mut harness, 3.5);
    assert_eq!(
        actions.counter_call(),
        Some(CounterCall::new("q5.250", 2.5))
    );
}
