//! Queue of admitted requests, the hard ceiling and the cap on concurrent attempts.

use crate::common::*;
use quartzcleat::api::*;

/// When hosts are full, the request with more weight for its work is sent first, though it arrived later.
#[test]
fn queue_is_ordered_by_weight_per_work() {
    let mut settings = settings();
    settings.classes[2].priority_weight = 3.0;
    settings.plans[0].weight_factor = 1.0;
    let mut rig = Rig::new(settings, 1);
    // The one host is full; two requests wait, the weightier behind the other.
    let mut in_flight = Vec::new();
    let waiting = loop {
        let (id, actions) = rig.admitted(0, 5, 0.1);
        match attempt(&actions) {
            Some(sent) => in_flight.push(sent),
            None => break id,
        }
    };
    let (weightier, actions) = rig.admitted(2, 6, 0.1);
    assert_eq!(attempt(&actions), None);
    let mut order = Vec::new();
    for (id, host) in in_flight {
        let actions = rig.done(id, 0, host, Outcome::Good, true);
        order.extend(actions.iter().filter_map(as_attempt).map(|(id, _)| id));
    }
    assert_eq!(order[..2], [weightier, waiting]);
}

#[test]
fn queued_request_is_rejected_after_part_of_its_objective() {
    let mut set = settings();
    set.limiters.count = 340;
    let mut rig = Rig::new(set, 4);
    rig.passed(0, 5);
    let (id, actions) = rig.request(0, 6, 1.0);
    let (name, _) = count(&actions).expect("an add before the verdict");
    if let Some((previous, _)) = count(&rig.counted(&name, Outcome::Good, 1.0)) {
        rig.counted(&previous, Outcome::Good, 0.0);
    }
    rig.now += 200 * MS;
    assert_eq!(rejected(&rig.timer(Timer::ReleaseQueue), id), None);
    rig.now += 100 * MS;
    let actions = rig.timer(Timer::ReleaseQueue);
    assert_eq!(rejected(&actions, id), Some(S / 4), "in time for a retry");
    // It was never sent, so its add is refunded.
    assert_eq!(count(&actions), Some((name, -1.0)));
}

#[test]
fn ceiling_holds_without_counter_and_after_restart() {
    let mut set = settings();
    set.plans[0].ceiling_rate = 20.0;
    set.plans[0].ceiling_burst = 40.0;
    set.plans[0].rate = 1e6;
    let mut rig = Rig::new(set, 8);
    // Just started: the ceiling may be spent, so nothing is sent at once ...
    let (_, actions) = rig.request(0, 5, 4.0);
    assert_eq!(attempt(&actions), None);
    // ... and later only this limiter's share of what has refilled.
    let mut sent = 0.0;
    for _ in 0..400 {
        rig.now += 5 * MS;
        let (_, actions) = rig.request(0, 5, 4.0);
        let wait = counter_wait(&actions);
        let mut actions = wait.map_or(actions, |timer| rig.timer(timer));
        actions.extend(rig.timer(Timer::ReleaseQueue));
        while let Some((sent_id, host)) = attempt(&actions) {
            sent += 4.0;
            actions = rig.done(sent_id, 0, host, Outcome::Good, true);
        }
    }
    assert!(
        sent > 0.0 && sent <= 2.0 * 20.0 / 2.0,
        "{sent} units in 2 s at a share of 10 a second"
    );
}

#[test]
fn concurrency_cap_counts_attempts_in_flight() {
    let mut set = settings();
    set.plans[0].max_concurrent_attempts = 2;
    let mut rig = Rig::new(set, 8);
    let (first, host) = rig.passed(0, 5);
    rig.passed(0, 5);
    let (third, actions) = rig.request(0, 5, 1.0);
    let wait = counter_wait(&actions).expect("a call was made");
    assert_eq!(
        attempt(&rig.timer(wait)),
        None,
        "two are in flight, so the third waits"
    );
    let actions = rig.done(first, 0, host, Outcome::Good, true);
    assert_eq!(attempt(&actions).map(|a| a.0), Some(third));
}
