//! Queue of admitted requests, the hard ceiling and the cap on concurrent attempts.

use quartzcleat::api::{RequestId, Timer};
use quartzcleat_test_support::actions::CounterCall;
use quartzcleat_test_support::engine::EngineHarness;
use quartzcleat_test_support::settings::{
    settings_with, IDEMPOTENT, KEYED_EVERYWHERE, LATENCY_OBJECTIVE, MILLISECOND,
};

/// When the only host is full, the request with more weight for its work is sent first, though it arrived later.
#[test]
fn queue_is_ordered_by_weight_per_work() {
    let settings = settings_with(|settings| {
        settings.classes[KEYED_EVERYWHERE.as_usize()].priority_weight = 3.0;
        settings.plans[0].weight_factor = 1.0;
    });
    let mut harness = EngineHarness::new(settings, 1);
    let mut in_flight = Vec::new();
    let waiting = loop {
        let request = harness.admit(IDEMPOTENT, 5, 0.1);
        match request.actions.attempt() {
            Some(sent) => in_flight.push(sent),
            None => break request.id,
        }
    };
    let weightier = harness.admit(KEYED_EVERYWHERE, 6, 0.1);
    assert_eq!(weightier.actions.attempt(), None);
    let mut order: Vec<RequestId> = Vec::new();
    for sent in in_flight {
        let actions = harness.serve(sent);
        order.extend(actions.attempts().map(|attempt| attempt.id));
    }
    assert_eq!(order[..2], [weightier.id, waiting]);
}

/// It was never sent, so its add is refunded.
#[test]
fn queued_request_is_rejected_after_part_of_its_objective() {
    let settings = settings_with(|settings| settings.limiters.count = 340);
    let mut harness = EngineHarness::new(settings, 4);
    harness.send(IDEMPOTENT, 5);
    let request = harness.request(IDEMPOTENT, 6, 1.0);
    let add = request.actions.counter_call();
    let add = add.expect("an add before the decision");
    if let Some(read) = harness.reply_with_total(&add.name, 1.0).counter_call() {
        harness.reply_with_total(&read.name, 0.0);
    }
    harness.now += 200 * MILLISECOND;
    let early = harness.fire(Timer::ReleaseQueue);
    assert_eq!(early.rejection(request.id), None);
    harness.now += 100 * MILLISECOND;
    let actions = harness.fire(Timer::ReleaseQueue);
    assert_eq!(
        actions.rejection(request.id),
        Some(LATENCY_OBJECTIVE / 4),
        "in time for a retry"
    );
    assert_eq!(
        actions.counter_call(),
        Some(CounterCall::new(&add.name, -1.0))
    );
}

/// A limiter with a ceiling of 20 units a second, which it shares with one other.
fn harness_with_ceiling() -> EngineHarness {
    let settings = settings_with(|settings| {
        settings.plans[0].ceiling_rate = 20.0;
        settings.plans[0].ceiling_burst = 40.0;
        settings.plans[0].rate = 1e6;
    });
    EngineHarness::new(settings, 8)
}

/// A limiter that just started cannot know what the one before it has spent.
#[test]
fn ceiling_counts_as_spent_at_the_start() {
    let mut harness = harness_with_ceiling();
    assert_eq!(harness.request(IDEMPOTENT, 5, 4.0).actions.attempt(), None);
}

/// Only this limiter's share of the refill is sent, 10 units a second.
#[test]
fn ceiling_holds_without_counter() {
    let mut harness = harness_with_ceiling();
    harness.request(IDEMPOTENT, 5, 4.0);
    let mut sent_units = 0.0;
    for _ in 0..400 {
        harness.now += 5 * MILLISECOND;
        let request = harness.request(IDEMPOTENT, 5, 4.0);
        let mut actions = match request.actions.counter_wait() {
            Some(timer) => harness.fire(timer),
            None => request.actions,
        };
        actions.extend(harness.fire(Timer::ReleaseQueue));
        while let Some(sent) = actions.attempt() {
            sent_units += 4.0;
            actions = harness.serve(sent);
        }
    }
    assert!(
        sent_units > 0.0 && sent_units <= 2.0 * 20.0 / 2.0,
        "{sent_units} units in 2 s at a share of 10 a second"
    );
}

#[test]
fn concurrency_cap_counts_attempts_in_flight() {
    let settings = settings_with(|settings| settings.plans[0].max_concurrent_attempts = 2);
    let mut harness = EngineHarness::new(settings, 8);
    let first = harness.send(IDEMPOTENT, 5);
    harness.send(IDEMPOTENT, 5);
    let third = harness.request(IDEMPOTENT, 5, 1.0);
    let wait = third.actions.counter_wait().expect("a call was made");
    assert_eq!(
        harness.fire(wait).attempt(),
        None,
        "two are in flight, so the third waits"
    );
    assert_eq!(harness.serve(first).attempted_request(), Some(third.id));
}
