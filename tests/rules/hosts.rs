//! Host selection: only ready hosts, and less to those that fail or are slow.

use crate::common::*;
use quartzcleat::api::*;

#[test]
fn draining_or_removed_host_gets_no_attempt() {
    for mode in [ListMode::Update, ListMode::Replace] {
        let mut rig = Rig::new(settings(), 2);
        let draining = HostEntry {
            state: HostState::Draining,
            ..host(1, 1)
        };
        let entries = if mode == ListMode::Update {
            vec![draining]
        } else {
            vec![host(2, 1)]
        };
        rig.hosts(mode, entries);
        for customer in 0..2 {
            assert_eq!(rig.passed(0, customer).1, HostId(2));
        }
    }
}

/// While every listed host is draining, a request is rejected with `retry_after` at the next look at the queue. Before the
/// first host list it waits.
#[test]
fn request_waits_for_a_host_list_but_not_for_draining_hosts() {
    let answer = |hosts: u32| {
        let mut rig = Rig::new(settings(), hosts);
        rig.spread = 1;
        let draining = |id| HostEntry {
            state: HostState::Draining,
            ..paired(id)
        };
        rig.hosts(ListMode::Update, (1..=hosts).map(draining).collect());
        let (id, mut actions) = rig.admitted(0, 5, 0.1);
        actions.extend(rig.timer(Timer::ReleaseQueue));
        rejected(&actions, id)
    };
    assert!(answer(3).is_some_and(|wait| wait > 0), "rejected at once");
    assert_eq!(answer(0), None, "it waits");
}

#[test]
fn failing_host_is_avoided_but_never_all_hosts() {
    let mut rig = Rig::new(settings(), 3);
    for customer in 0..40 {
        let (id, host) = rig.passed(0, customer);
        let outcome = if host == HostId(1) {
            Outcome::Reset
        } else {
            Outcome::Good
        };
        let mut actions = rig.done(id, 0, host, outcome, outcome == Outcome::Good);
        while let Some((id, host)) = attempt(&actions) {
            actions = rig.done(id, 1, host, Outcome::Good, true);
        }
    }
    for customer in 40..50 {
        let (id, host) = rig.passed(0, customer);
        assert_ne!(host, HostId(1));
        rig.done(id, 0, host, Outcome::Good, true);
    }
    // Now every host fails: requests still go somewhere.
    for customer in 50..70 {
        let (id, host) = rig.passed(3, customer);
        rig.done(id, 0, host, Outcome::Reset, false);
    }
}

#[test]
fn recovered_zone_gets_its_part_again() {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.limiters.count = 300;
        }),
        0,
    );
    let zoned = |id: u32| HostEntry {
        zone: ZoneId(id % 2),
        ..host(id, id)
    };
    rig.hosts(ListMode::Replace, (1..=40).map(zoned).collect());
    let to_lost = |rig: &mut Rig, customers: std::ops::Range<u64>, lost: bool| {
        let mut sends = 0;
        for customer in customers {
            rig.now += 10 * MS;
            let (id, host) = rig.passed(3, customer);
            let to_zone = host.0.is_multiple_of(2);
            sends += usize::from(to_zone);
            let outcome = if lost && to_zone {
                Outcome::Reset
            } else {
                Outcome::Good
            };
            rig.done(id, 0, host, outcome, outcome == Outcome::Good);
        }
        sends
    };
    to_lost(&mut rig, 0..100, false);
    to_lost(&mut rig, 100..200, true);
    let shunned = to_lost(&mut rig, 200..300, true);
    rig.now += 60 * S;
    let back = to_lost(&mut rig, 300..400, false);
    assert!(
        shunned <= 20 && back >= 80,
        "{shunned} of 100 to a failing zone, {back} after its recovery"
    );
}

#[test]
fn paused_limiter_blames_no_host() {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.counter.is_available = false;
        }),
        40,
    );
    let mut out = Vec::new();
    for customer in 0..30 {
        let (_, actions) = rig.request(0, customer, 1.0);
        out.push((
            attempt(&actions).expect("sent on"),
            latency_objective(&actions).expect("it has an objective"),
        ));
    }
    // A pause of two seconds, then timers and answers at once; the answers themselves were prompt.
    rig.now += 2 * S;
    for ((id, host), timer) in out {
        rig.timer(timer);
        rig.ended(
            id,
            host,
            Ended {
                elapsed: 100 * MS,
                ..Ended::default()
            },
        );
    }
    for customer in 30..60 {
        rig.now += 50 * MS;
        let (id, actions) = rig.request(0, customer, 1.0);
        assert!(rejected(&actions, id).is_none(), "shed for its own pause");
    }
}
