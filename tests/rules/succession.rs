//! A limiter that succeeds another continues from its snapshot.

use quartzcleat::api::{Event, HostEntry, HostId, ListMode, Nanos, Settings};
use quartzcleat::decision::{
    AdmissionSnapshot, CounterCallsSnapshot, EngineSnapshot, LatencyScoreSnapshot, TimedUnits,
};
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    host_of_pair, settings, settings_with, IDEMPOTENT, MILLISECOND, SECOND,
};

/// The host that answers slowly in the predecessor.
const SLOW: HostId = HostId(2);
/// The host whose process the successor finds restarted.
const RESTARTED: HostId = HostId(1);

/// A limiter with measured answer times, requests of 31 customers and one attempt in flight.
fn predecessor() -> EngineHarness {
    let mut harness = EngineHarness::new(settings_with_named_classes(), 3);
    for customer in 0..30 {
        let sent = harness.send(IDEMPOTENT, customer);
        let elapsed = if sent.host == SLOW {
            400 * MILLISECOND
        } else {
            20 * MILLISECOND
        };
        harness.end_attempt(EndedAttempt::good(sent.id, sent.host).after(elapsed));
    }
    harness.send(IDEMPOTENT, 99);
    harness
}

fn settings_with_named_classes() -> Settings {
    settings_with(|settings| {
        for (class, name) in settings.classes.iter_mut().zip(["a", "b", "c", "d"]) {
            class.name = name.into();
        }
    })
}

/// A limiter that starts from a snapshot of a given age. One of its hosts is a new process.
fn successor(snapshot: &EngineSnapshot, age: Nanos) -> EngineHarness {
    let mut harness = EngineHarness::new(settings_with_named_classes(), 3);
    let restarted = HostEntry {
        started: harness.now,
        ..host_of_pair(RESTARTED.0)
    };
    harness.update_hosts(ListMode::Update, vec![restarted]);
    harness.now += age;
    let restored = Event::SnapshotRestored {
        snapshot: Box::new(snapshot.clone()),
    };
    assert!(harness.handle(restored).is_empty());
    harness
}

fn latency_score(harness: &EngineHarness, host: HostId) -> f64 {
    let hosts = harness.engine.snapshot().hosts;
    hosts[host.0 as usize - 1].latency.score
}

#[test]
fn successor_continues_from_measured_latency() {
    let first = predecessor();
    assert!(latency_score(&first, SLOW) > 2.0);
    let second = successor(&first.engine.snapshot(), 0);
    assert_eq!(latency_score(&second, SLOW), latency_score(&first, SLOW));
}

#[test]
fn successor_does_not_apply_measurements_to_a_new_process() {
    let second = successor(&predecessor().engine.snapshot(), 0);
    assert_eq!(latency_score(&second, RESTARTED), 1.0);
}

#[test]
fn successor_continues_from_classes_customers_and_concurrency_limit() {
    let snapshot = predecessor().engine.snapshot();
    assert_eq!(snapshot.customers.len(), 31);
    let restored = successor(&snapshot, 0).engine.snapshot();
    assert_eq!(restored.classes, snapshot.classes);
    assert_eq!(restored.customers, snapshot.customers);
    assert_eq!(restored.concurrency_limit, snapshot.concurrency_limit);
    assert_eq!(restored.classes.len(), settings().classes.len() + 1);
}

#[test]
fn attempts_in_flight_stay_with_the_predecessor() {
    let second = successor(&predecessor().engine.snapshot(), 0);
    assert_eq!(second.engine.status().in_flight, 0);
}

#[test]
fn successor_ignores_an_old_snapshot() {
    let snapshot = predecessor().engine.snapshot();
    let customers = successor(&snapshot, 11 * SECOND)
        .engine
        .snapshot()
        .customers;
    assert_eq!(customers, []);
}

/// A snapshot whose values are all out of range.
fn malformed_snapshot() -> EngineSnapshot {
    let mut snapshot = EngineSnapshot {
        counter_calls: CounterCallsSnapshot {
            ratio: f64::NAN,
            mean_need: -1.0,
        },
        admission: AdmissionSnapshot {
            ratio: 9.0,
            mean_objective_ratio: f64::INFINITY,
            measured_at: u64::MAX,
            success_objective_ratio: -1.0,
        },
        concurrency_limit: f64::NAN,
        ..predecessor().engine.snapshot()
    };
    for host in &mut snapshot.hosts {
        host.latency = LatencyScoreSnapshot {
            score: -5.0,
            sample_weight: 1e300,
            measured_at: u64::MAX,
        };
        host.concurrency_limit = 0.0;
    }
    for customer in &mut snapshot.customers {
        customer.totals.current = f64::NAN;
        customer.recent_units = TimedUnits {
            units: 1e300,
            at: u64::MAX,
        };
    }
    snapshot
}

/// It starts like a limiter without a snapshot, and serves requests.
#[test]
fn successor_ignores_values_out_of_range() {
    let mut harness = successor(&malformed_snapshot(), 0);
    let fresh = EngineHarness::new(settings_with_named_classes(), 3);
    let fresh = fresh.engine.snapshot();
    let restored = harness.engine.snapshot();
    assert_eq!(restored.counter_calls.ratio, fresh.counter_calls.ratio);
    assert_eq!(restored.admission.ratio, 1.0);
    assert_eq!(restored.concurrency_limit, fresh.concurrency_limit);
    let sent = harness.send(IDEMPOTENT, 5);
    harness.serve(sent);
}
