//! Events that are odd but legal, and state that must not accumulate.

use crate::common::*;
use quartzcleat::api::*;

fn reading(name: &str, value: f64) -> LoadReading {
    LoadReading {
        name: name.to_owned(),
        value,
    }
}

#[test]
fn odd_but_legal_events_change_nothing() {
    let mut rig = Rig::new(settings(), 2);
    let (id, host) = rig.passed(0, 5);
    rig.event(Event::Abandoned { id });
    assert!(rig.event(Event::Abandoned { id }).is_empty());
    assert!(rig.done(id, 0, host, Outcome::Timeout, true).is_empty());
    assert!(rig.done(id, 0, host, Outcome::Timeout, true).is_empty());
    for stale in [
        Timer::Deadline { id },
        Timer::LatencyObjective { id },
        Timer::CounterWait { id },
    ] {
        assert!(rig.timer(stale).is_empty());
    }
    assert!(rig.counted("nobody", Outcome::Good, 1.0).is_empty());
    assert!(rig.hosts(ListMode::Replace, vec![]).is_empty());
}

/// A rig with an attempt in flight.
fn with_attempt_in_flight() -> (Rig, RequestId, HostId) {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.capabilities.health_checks = true;
            settings.capabilities.peer_messages = true;
        }),
        4,
    );
    let (id, host) = rig.passed(0, 5);
    (rig, id, host)
}

#[test]
fn absurd_load_reports_change_nothing() {
    let odd = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -1e300,
        1e300,
        0.0,
    ];
    for value in odd {
        let (mut rig, id, host) = with_attempt_in_flight();
        for name in ["queue", "qps", "util", "", "no such value"] {
            let load = LoadReport {
                readings: vec![reading(name, value); 3],
            };
            let probe = Event::HealthCheckDone {
                host,
                outcome: Outcome::Good,
                elapsed: MS,
                load: load.clone(),
            };
            assert!(rig.event(probe).is_empty());
            let unknown = Event::HealthCheckDone {
                host: HostId(999),
                outcome: Outcome::Timeout,
                elapsed: 0,
                load,
            };
            assert!(rig.event(unknown).is_empty());
        }
        let load = LoadReport {
            readings: vec![reading("queue", value)],
        };
        rig.ended(
            id,
            host,
            Ended {
                metered_use: u64::MAX,
                true_units: value,
                load,
                ..Ended::default()
            },
        );
        for customer in 10..20 {
            let (id, host) = rig.passed(0, customer);
            rig.done(id, 0, host, Outcome::Good, true);
        }
    }
}

#[test]
fn odd_peer_messages_change_nothing() {
    let (mut rig, id, host) = with_attempt_in_flight();
    for bytes in [vec![], vec![0xff; 256], vec![0; 4096], b"hello".to_vec()] {
        for from in [0, 1, 7, u32::MAX] {
            let event = Event::Peer {
                from: LimiterIndex(from),
                bytes: bytes.clone(),
            };
            assert!(rig.event(event.clone()).is_empty());
            assert!(rig.event(event).is_empty(), "the same again");
        }
    }
    assert!(attempt(&rig.done(id, 0, host, Outcome::Good, true)).is_none());
}

#[test]
fn outcomes_of_unknown_attempts_change_nothing() {
    let (mut rig, id, host) = with_attempt_in_flight();
    for (other, attempt_number) in [(RequestId(77), 0), (id, 1), (id, u32::MAX)] {
        for outcome in [
            Outcome::Good,
            Outcome::Timeout,
            Outcome::Rejected,
            Outcome::NeverSent,
        ] {
            assert!(rig
                .done(other, attempt_number, host, outcome, false)
                .is_empty());
        }
    }
    // The attempt in flight still gets its retry.
    assert!(attempt(&rig.done(id, 0, host, Outcome::Reset, false)).is_some());
}

#[test]
fn clock_step_keeps_the_rules() {
    let (mut rig, id, host) = with_attempt_in_flight();
    rig.hosts(
        ListMode::Update,
        vec![HostEntry {
            state: HostState::Draining,
            ..paired(host.0)
        }],
    );
    // Ten minutes later, then a clock that goes back.
    rig.now += 600 * S;
    assert!(rejected(&rig.timer(Timer::Deadline { id }), id).is_some());
    rig.now -= 500 * S;
    let mut lines = 0;
    for customer in 10..60 {
        let (_, actions) = rig.request(0, customer, 1.0);
        lines += actions
            .iter()
            .filter(|a| matches!(a, Action::Log { .. }))
            .count();
        let sent = counter_wait(&actions)
            .and_then(|timer| attempt(&rig.timer(timer)))
            .or(attempt(&actions));
        assert_ne!(sent.map(|(_, to)| to), Some(host), "it drains");
    }
    assert!(lines <= 1, "{lines} log lines");
}

/// Customers and hosts that are no longer in use do not accumulate.
#[test]
fn unused_customers_and_hosts_are_removed() {
    let mut rig = Rig::new(settings(), 4);
    for round in 0..50 {
        let (id, host) = rig.passed(0, 1000 + round);
        rig.done(id, 0, host, Outcome::Good, true);
        let entry = HostEntry {
            state: HostState::Gone,
            ..paired(100 + round as u32)
        };
        rig.hosts(ListMode::Update, vec![paired(100 + round as u32)]);
        rig.hosts(ListMode::Update, vec![entry]);
        rig.now += S;
        rig.timer(Timer::Sweep);
    }
    let records = rig.engine.snapshot();
    // Two windows of 4 s, and the four hosts that are still listed.
    let customer_count = records.customers.len();
    assert!(customer_count <= 10, "{customer_count} customers");
    assert_eq!(records.hosts.len(), 4);
}
