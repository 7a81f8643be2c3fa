//! Host selection: only ready hosts, and less to those that fail or are slow.

use quartzcleat::api::{HostEntry, HostId, HostState, ListMode, Nanos, Outcome, Timer, ZoneId};
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    host, host_of_pair, settings, settings_with, IDEMPOTENT, MILLISECOND, SECOND, UNSAFE,
};
use std::ops::Range;

fn draining(entry: &HostEntry) -> HostEntry {
    HostEntry {
        state: HostState::Draining,
        ..entry.clone()
    }
}

#[test]
fn draining_host_gets_no_attempt() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.update_hosts(ListMode::Update, vec![draining(&host(1, 1))]);
    for customer in 0..2 {
        assert_eq!(harness.send(IDEMPOTENT, customer).host, HostId(2));
    }
}

#[test]
fn removed_host_gets_no_attempt() {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.update_hosts(ListMode::Replace, vec![host(2, 1)]);
    for customer in 0..2 {
        assert_eq!(harness.send(IDEMPOTENT, customer).host, HostId(2));
    }
}

/// The `retry_after` of a request while all hosts are draining, after the next look at the queue; `None` while it waits.
fn rejection_with_draining_hosts(hosts: u32) -> Option<Nanos> {
    let mut harness = EngineHarness::new(settings(), hosts);
    harness.spread = 1;
    let entries = (1..=hosts).map(|id| draining(&host_of_pair(id))).collect();
    harness.update_hosts(ListMode::Update, entries);
    let request = harness.admit(IDEMPOTENT, 5, 0.1);
    let mut actions = request.actions;
    actions.extend(harness.fire(Timer::ReleaseQueue));
    actions.rejection(request.id)
}

#[test]
fn request_is_rejected_with_retry_after_while_every_host_is_draining() {
    let rejection = rejection_with_draining_hosts(3);
    assert!(rejection.is_some_and(|retry_after| retry_after > 0));
}

#[test]
fn request_waits_for_the_first_host_list() {
    assert_eq!(rejection_with_draining_hosts(0), None);
}

/// Sends requests of 40 customers, of which those at one host fail, and retries them.
fn fail_requests_at(harness: &mut EngineHarness, failing: HostId) {
    for customer in 0..40 {
        let sent = harness.send(IDEMPOTENT, customer);
        let outcome = if sent.host == failing {
            Outcome::Reset
        } else {
            Outcome::Good
        };
        let mut actions = harness.end_attempt(EndedAttempt::new(sent.id, sent.host, outcome));
        while let Some(retry) = actions.attempt() {
            let good = EndedAttempt::good(retry.id, retry.host);
            actions = harness.end_attempt(good.of_attempt(1));
        }
    }
}

#[test]
fn failing_host_is_avoided() {
    let mut harness = EngineHarness::new(settings(), 3);
    fail_requests_at(&mut harness, HostId(1));
    for customer in 40..50 {
        let sent = harness.send(IDEMPOTENT, customer);
        assert_ne!(sent.host, HostId(1));
        harness.serve(sent);
    }
}

#[test]
fn requests_still_go_to_a_host_where_all_of_them_fail() {
    let mut harness = EngineHarness::new(settings(), 3);
    fail_requests_at(&mut harness, HostId(1));
    for customer in 50..70 {
        // It panics where the request goes to no host.
        let sent = harness.send(UNSAFE, customer);
        harness.fail(sent, Outcome::Reset);
    }
}

/// The zone that fails for a while.
const LOST_ZONE: ZoneId = ZoneId(0);

fn zone_of(host: HostId) -> ZoneId {
    ZoneId(host.0 % 2)
}

/// Sends requests, of which those in the lost zone end with an outcome; how many went there.
fn requests_to_lost_zone(
    harness: &mut EngineHarness,
    customers: Range<u64>,
    outcome_there: Outcome,
) -> usize {
    let mut sent_there = 0;
    for customer in customers {
        harness.now += 10 * MILLISECOND;
        let sent = harness.send(UNSAFE, customer);
        let is_there = zone_of(sent.host) == LOST_ZONE;
        sent_there += usize::from(is_there);
        let outcome = if is_there {
            outcome_there
        } else {
            Outcome::Good
        };
        harness.end_attempt(EndedAttempt::new(sent.id, sent.host, outcome));
    }
    sent_there
}

#[test]
fn recovered_zone_gets_its_part_again() {
    let settings = settings_with(|settings| settings.limiters.count = 300);
    let mut harness = EngineHarness::new(settings, 0);
    let in_two_zones = |id: u32| HostEntry {
        zone: zone_of(HostId(id)),
        ..host(id, id)
    };
    harness.update_hosts(ListMode::Replace, (1..=40).map(in_two_zones).collect());
    requests_to_lost_zone(&mut harness, 0..100, Outcome::Good);
    requests_to_lost_zone(&mut harness, 100..200, Outcome::Reset);
    let while_failing = requests_to_lost_zone(&mut harness, 200..300, Outcome::Reset);
    harness.now += 60 * SECOND;
    let after_recovery = requests_to_lost_zone(&mut harness, 300..400, Outcome::Good);
    assert!(
        while_failing <= 20 && after_recovery >= 80,
        "{while_failing} of 100 to a failing zone, {after_recovery} after its recovery"
    );
}

/// After a pause of the process, timers and answers come at once; the answers themselves were prompt.
#[test]
fn paused_limiter_sheds_no_load_for_its_own_pause() {
    let settings = settings_with(|settings| settings.counter.is_available = false);
    let mut harness = EngineHarness::new(settings, 40);
    let sent: Vec<_> = (0..30)
        .map(|customer| {
            let actions = harness.request(IDEMPOTENT, customer, 1.0).actions;
            let attempt = actions.attempt().expect("it is sent");
            let objective = actions.latency_objective().expect("it has an objective");
            (attempt, objective)
        })
        .collect();
    harness.now += 2 * SECOND;
    for (attempt, objective) in sent {
        harness.fire(objective);
        let good = EndedAttempt::good(attempt.id, attempt.host);
        harness.end_attempt(good.after(100 * MILLISECOND));
    }
    for customer in 30..60 {
        harness.now += 50 * MILLISECOND;
        let request = harness.request(IDEMPOTENT, customer, 1.0);
        assert!(!request.actions.is_rejected(request.id));
    }
}
