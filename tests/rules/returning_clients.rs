//! Requests that come again under the same id after their client has left.

use quartzcleat::api::{
    ClassIndex, CustomerId, Event, LimiterIndex, Nanos, Outcome, PlanIndex, RequestId,
};
use quartzcleat_test_support::actions::{Actions, OrderedAttempt};
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    settings, DEADLINE, IDEMPOTENT, KEYED_EVERYWHERE, KEYED_WITHIN_CELL, SECOND, UNSAFE,
};

const CUSTOMER: u64 = 5;
/// Time for which a request whose client left is remembered.
const REMEMBERED_FOR: Nanos = 60 * SECOND;

/// Sends a request, whose client leaves while its attempt is in flight.
fn abandon(harness: &mut EngineHarness, class: ClassIndex) -> OrderedAttempt {
    let sent = harness.send(class, CUSTOMER);
    harness.handle(Event::Abandoned { id: sent.id });
    sent
}

fn end_attempt(harness: &mut EngineHarness, sent: OrderedAttempt, outcome: Outcome) {
    let ended = EndedAttempt::new(sent.id, sent.host, outcome);
    harness.end_attempt(ended.of_finished_request());
}

fn send_again(harness: &mut EngineHarness, id: RequestId, class: ClassIndex) -> Actions {
    harness.handle(Event::Request {
        id,
        class,
        plan: PlanIndex(0),
        customer: CustomerId(CUSTOMER),
        budget: DEADLINE,
        units: 1.0,
        spread: 2,
        first_limiter: LimiterIndex(0),
        flags: 0,
    })
}

/// A request that must not run twice ran again when it came again under its id after its client had left (incident
/// second-run-of-a-request).
#[test]
fn request_that_may_have_run_and_comes_again_fails_unless_a_second_run_is_harmless() {
    for (class, is_failed) in [
        (UNSAFE, true),
        (KEYED_WITHIN_CELL, true),
        (KEYED_EVERYWHERE, false),
        (IDEMPOTENT, false),
    ] {
        let mut harness = EngineHarness::new(settings(), 4);
        let sent = abandon(&mut harness, class);
        end_attempt(&mut harness, sent, Outcome::Good);
        let actions = send_again(&mut harness, sent.id, class);
        assert_eq!(actions.is_failed(sent.id), is_failed, "{class:?}");
        assert_eq!(actions.counter_call().is_none(), is_failed, "{class:?}");
    }
}

/// An attempt that was not written is known not to have run.
#[test]
fn request_that_never_ran_and_comes_again_is_served() {
    let mut harness = EngineHarness::new(settings(), 4);
    let sent = abandon(&mut harness, UNSAFE);
    end_attempt(&mut harness, sent, Outcome::NeverSent);
    let actions = send_again(&mut harness, sent.id, UNSAFE);
    assert!(actions.counter_call().is_some());
}

/// Abandoned requests must not accumulate.
#[test]
fn request_whose_client_left_long_ago_is_forgotten() {
    let mut harness = EngineHarness::new(settings(), 4);
    let sent = abandon(&mut harness, UNSAFE);
    end_attempt(&mut harness, sent, Outcome::Reset);
    harness.now += REMEMBERED_FOR + SECOND;
    harness.fire(quartzcleat::api::Timer::Sweep);
    let actions = send_again(&mut harness, sent.id, UNSAFE);
    assert!(!actions.is_failed(sent.id));
}
