//! A limiter that succeeds another continues from its snapshot.

use crate::common::*;
use quartzcleat::api::*;
use quartzcleat::choice::{
    AdmissionSnapshot, CounterCallsSnapshot, EngineSnapshot, LatencyScoreSnapshot, TimedUnits,
};

/// A limiter with measured answer times, requests of 31 customers and one attempt in flight.
fn predecessor() -> Rig {
    let mut rig = Rig::new(named_classes(), 3);
    for customer in 0..30 {
        let (id, host) = rig.passed(0, customer);
        let elapsed = if host == HostId(2) { 400 * MS } else { 20 * MS };
        rig.ended(
            id,
            host,
            Ended {
                elapsed,
                ..Ended::default()
            },
        );
    }
    rig.passed(0, 99);
    rig
}

fn named_classes() -> Settings {
    let mut settings = settings();
    for (class, name) in settings.classes.iter_mut().zip(["a", "b", "c", "d"]) {
        class.name = name.into();
    }
    settings
}

/// A limiter that starts from a snapshot of a given age. The first of its hosts is a new process.
fn successor(snapshot: &EngineSnapshot, age: u64) -> Rig {
    let mut rig = Rig::new(named_classes(), 3);
    let restarted = HostEntry {
        started: rig.now,
        ..paired(1)
    };
    rig.hosts(ListMode::Update, vec![restarted]);
    rig.now += age;
    let inherited = Event::SnapshotRestored {
        snapshot: Box::new(snapshot.clone()),
    };
    assert!(rig.event(inherited).is_empty());
    rig
}

fn latency_score(rig: &Rig, host: usize) -> f64 {
    rig.engine.snapshot().hosts[host - 1].latency.score
}

/// A successor continues from the snapshot, but not for a host that is another process now and not for requests in
/// flight.
#[test]
fn successor_continues_from_snapshot() {
    let first = predecessor();
    let snapshot = first.engine.snapshot();
    assert!(latency_score(&first, 2) > 2.0 && snapshot.customers.len() == 31);
    let second = successor(&snapshot, 0);
    assert_eq!(latency_score(&second, 2), latency_score(&first, 2));
    assert_eq!(latency_score(&second, 1), 1.0, "it is a new process");
    let restored = second.engine.snapshot();
    assert_eq!(
        (
            &restored.classes,
            &restored.customers,
            restored.concurrency_limit
        ),
        (
            &snapshot.classes,
            &snapshot.customers,
            snapshot.concurrency_limit
        )
    );
    assert_eq!(restored.classes.len(), settings().classes.len() + 1);
    assert_eq!(
        second.engine.status().in_flight,
        0,
        "attempts in flight stay with the first"
    );
}

#[test]
fn successor_ignores_an_old_snapshot() {
    let snapshot = predecessor().engine.snapshot();
    let customers = successor(&snapshot, 11 * S).engine.snapshot().customers;
    assert_eq!(customers, []);
}

#[test]
fn successor_ignores_values_out_of_range() {
    let mut broken = EngineSnapshot {
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
    for host in &mut broken.hosts {
        host.latency = LatencyScoreSnapshot {
            score: -5.0,
            sample_weight: 1e300,
            measured_at: u64::MAX,
        };
        host.concurrency_limit = 0.0;
    }
    for customer in &mut broken.customers {
        customer.totals.current = f64::NAN;
        customer.recent_units = TimedUnits {
            units: 1e300,
            at: u64::MAX,
        };
    }
    let mut rig = successor(&broken, 0);
    let fresh = Rig::new(named_classes(), 3).engine.snapshot();
    let restored = rig.engine.snapshot();
    assert_eq!(
        (
            restored.counter_calls.ratio,
            restored.admission.ratio,
            restored.concurrency_limit
        ),
        (fresh.counter_calls.ratio, 1.0, fresh.concurrency_limit)
    );
    let (id, host) = rig.passed(0, 5);
    rig.done(id, 0, host, Outcome::Good, true);
}
