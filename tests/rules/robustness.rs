//! Events that are odd but legal, and state that must not accumulate.

use quartzcleat::api::{
    Action, Event, HostEntry, HostId, HostState, LimiterIndex, ListMode, LoadReading, LoadReport,
    Outcome, RequestId, Timer,
};
use quartzcleat_test_support::actions::OrderedAttempt;
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    host_of_pair, settings, settings_with, IDEMPOTENT, MILLISECOND, SECOND,
};

/// A harness, and its attempt in flight.
struct HarnessWithAttempt {
    harness: EngineHarness,
    sent: OrderedAttempt,
}

impl HarnessWithAttempt {
    /// A limiter that may send health checks and messages to peers, and has four hosts.
    fn new() -> Self {
        let settings = settings_with(|settings| {
            settings.capabilities.health_checks = true;
            settings.capabilities.peer_messages = true;
        });
        let mut harness = EngineHarness::new(settings, 4);
        let sent = harness.send(IDEMPOTENT, 5);
        HarnessWithAttempt { harness, sent }
    }

    /// A limiter whose client has just gone.
    fn with_abandoned_request() -> Self {
        let mut state = Self::new();
        state.harness.handle(Event::Abandoned { id: state.sent.id });
        state
    }
}

#[test]
fn second_abandonment_of_a_request_changes_nothing() {
    let HarnessWithAttempt { mut harness, sent } = HarnessWithAttempt::with_abandoned_request();
    assert!(harness.handle(Event::Abandoned { id: sent.id }).is_empty());
}

#[test]
fn end_of_an_attempt_of_an_abandoned_request_changes_nothing_however_often_it_comes() {
    let HarnessWithAttempt { mut harness, sent } = HarnessWithAttempt::with_abandoned_request();
    let late = EndedAttempt::new(sent.id, sent.host, Outcome::Timeout).of_finished_request();
    assert!(harness.end_attempt(late.clone()).is_empty());
    assert!(harness.end_attempt(late).is_empty());
}

#[test]
fn timers_of_an_abandoned_request_change_nothing() {
    let HarnessWithAttempt { mut harness, sent } = HarnessWithAttempt::with_abandoned_request();
    for timer in [
        Timer::Deadline { id: sent.id },
        Timer::LatencyObjective { id: sent.id },
        Timer::CounterWait { id: sent.id },
    ] {
        assert!(harness.fire(timer).is_empty());
    }
}

#[test]
fn reply_to_an_unknown_call_changes_nothing() {
    let mut harness = EngineHarness::new(settings(), 2);
    assert!(harness.reply_with_total("unknown", 1.0).is_empty());
}

#[test]
fn empty_host_list_changes_nothing_at_once() {
    let mut harness = EngineHarness::new(settings(), 2);
    assert!(harness
        .update_hosts(ListMode::Replace, Vec::new())
        .is_empty());
}

const ABSURD_VALUES: [f64; 6] = [
    f64::NAN,
    f64::INFINITY,
    f64::NEG_INFINITY,
    -1e300,
    1e300,
    0.0,
];

fn reading(name: &str, value: f64) -> LoadReading {
    LoadReading {
        name: name.to_owned(),
        value,
    }
}

#[test]
fn absurd_load_reports_of_health_checks_change_nothing() {
    for value in ABSURD_VALUES {
        let HarnessWithAttempt { mut harness, sent } = HarnessWithAttempt::new();
        for name in ["queue", "qps", "util", "", "no such value"] {
            let load = LoadReport {
                readings: vec![reading(name, value); 3],
            };
            let known = Event::HealthCheckDone {
                host: sent.host,
                outcome: Outcome::Good,
                elapsed: MILLISECOND,
                load: load.clone(),
            };
            assert!(harness.handle(known).is_empty());
            let unknown = Event::HealthCheckDone {
                host: HostId(999),
                outcome: Outcome::Timeout,
                elapsed: 0,
                load,
            };
            assert!(harness.handle(unknown).is_empty());
        }
        check_requests_are_served(&mut harness);
    }
}

#[test]
fn absurd_figures_of_an_answer_leave_later_requests_alone() {
    for value in ABSURD_VALUES {
        let HarnessWithAttempt { mut harness, sent } = HarnessWithAttempt::new();
        harness.end_attempt(EndedAttempt {
            metered_use: u64::MAX,
            true_units: value,
            load: LoadReport {
                readings: vec![reading("queue", value)],
            },
            ..EndedAttempt::good(sent.id, sent.host)
        });
        check_requests_are_served(&mut harness);
    }
}

/// It panics where one of the requests goes to no host.
fn check_requests_are_served(harness: &mut EngineHarness) {
    for customer in 10..20 {
        let sent = harness.send(IDEMPOTENT, customer);
        harness.serve(sent);
    }
}

#[test]
fn odd_peer_messages_change_nothing() {
    let HarnessWithAttempt { mut harness, sent } = HarnessWithAttempt::new();
    for bytes in [vec![], vec![0xff; 256], vec![0; 4096], b"hello".to_vec()] {
        for from in [0, 1, 7, u32::MAX] {
            let event = Event::Peer {
                from: LimiterIndex(from),
                bytes: bytes.clone(),
            };
            assert!(harness.handle(event.clone()).is_empty());
            assert!(harness.handle(event).is_empty(), "the same again");
        }
    }
    assert_eq!(harness.serve(sent).attempt(), None);
}

/// The attempt in flight still gets its retry.
#[test]
fn outcomes_of_unknown_attempts_change_nothing() {
    let HarnessWithAttempt { mut harness, sent } = HarnessWithAttempt::new();
    for (id, attempt) in [(RequestId(77), 0), (sent.id, 1), (sent.id, u32::MAX)] {
        for outcome in [
            Outcome::Good,
            Outcome::Timeout,
            Outcome::Rejected,
            Outcome::NeverSent,
        ] {
            let unknown = EndedAttempt {
                is_request_finished: false,
                ..EndedAttempt::new(id, sent.host, outcome).of_attempt(attempt)
            };
            assert!(harness.end_attempt(unknown).is_empty());
        }
    }
    assert!(harness.fail(sent, Outcome::Reset).attempt().is_some());
}

/// A limiter whose clock went ten minutes ahead, and then back.
fn harness_after_clock_step(state: HarnessWithAttempt) -> EngineHarness {
    let HarnessWithAttempt { mut harness, sent } = state;
    harness.now += 600 * SECOND;
    let actions = harness.fire(Timer::Deadline { id: sent.id });
    assert!(actions.is_rejected(sent.id));
    harness.now -= 500 * SECOND;
    harness
}

#[test]
fn clock_step_keeps_requests_from_a_draining_host_and_logs_once() {
    let mut state = HarnessWithAttempt::new();
    let drained = state.sent.host;
    let entry = HostEntry {
        state: HostState::Draining,
        ..host_of_pair(drained.0)
    };
    state.harness.update_hosts(ListMode::Update, vec![entry]);
    let mut harness = harness_after_clock_step(state);
    let mut log_events = 0;
    for customer in 10..60 {
        let actions = harness.request(IDEMPOTENT, customer, 1.0).actions;
        log_events += actions
            .iter()
            .filter(|action| matches!(action, Action::Log { .. }))
            .count();
        let after_wait = actions
            .counter_wait()
            .and_then(|timer| harness.fire(timer).attempted_host());
        let host = after_wait.or(actions.attempted_host());
        assert_ne!(host, Some(drained));
    }
    assert!(log_events <= 1, "{log_events} log events");
}

/// Fifty customers and hosts come and go. Two windows of 4 s and the four hosts that are still there are held.
#[test]
fn unused_customers_and_hosts_are_removed() {
    let mut harness = EngineHarness::new(settings(), 4);
    for round in 0..50 {
        let sent = harness.send(IDEMPOTENT, 1000 + round);
        harness.serve(sent);
        let listed = host_of_pair(100 + round as u32);
        let gone = HostEntry {
            state: HostState::Gone,
            ..listed.clone()
        };
        harness.update_hosts(ListMode::Update, vec![listed]);
        harness.update_hosts(ListMode::Update, vec![gone]);
        harness.now += SECOND;
        harness.fire(Timer::Sweep);
    }
    let records = harness.engine.snapshot();
    let customer_count = records.customers.len();
    assert!(customer_count <= 10, "{customer_count} customers");
    assert_eq!(records.hosts.len(), 4);
}
