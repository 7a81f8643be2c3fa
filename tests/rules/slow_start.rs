//! Slow start: a host that started recently gets its part of the attempts and no overload.

use crate::common::*;
use quartzcleat::api::*;
use std::collections::VecDeque;

/// Hosts gain capacity by serving requests: one that answers as fast as others gets more than by its age alone, one that
/// answers slowly gets its least part, and neither enough to be overloaded.
#[test]
fn host_in_slow_start_with_prompt_answers_gets_more() {
    let part_of = |slow_factor: u64| {
        let mut rig = Rig::new(settings(), 3);
        let starting = HostEntry {
            started: rig.now,
            ..paired(3)
        };
        rig.hosts(ListMode::Update, vec![starting]);
        let mut to_starting = 0;
        let mut all = 0;
        for customer in 0..600 {
            let (id, host) = rig.passed(0, customer);
            let elapsed = if host == HostId(3) {
                slow_factor * 20 * MS
            } else {
                20 * MS
            };
            rig.ended(
                id,
                host,
                Ended {
                    elapsed,
                    ..Ended::default()
                },
            );
            all += 1;
            to_starting += u32::from(host == HostId(3));
        }
        f64::from(to_starting) / f64::from(all)
    };
    let slow = part_of(4);
    let prompt = part_of(1);
    // It has a fifth of what it will have, two others have all of theirs: its part of the capacity is an eleventh.
    let least = 0.2 / 2.2;
    assert!(
        slow < least && prompt > 1.2 * slow && prompt < 1.25 * least,
        "{slow} {prompt}"
    );
}

#[test]
fn host_in_slow_start_gets_its_part_only() {
    let mut rig = Rig::new(settings(), 3);
    let now = rig.now;
    rig.hosts(
        ListMode::Update,
        vec![HostEntry {
            started: now,
            ..host(4, 2)
        }],
    );
    let mut starting = 0;
    let mut sent = 0;
    let mut in_flight = VecDeque::new();
    for customer in 0..60 {
        let (_, actions) = rig.request(0, customer, 1.0);
        let wait = counter_wait(&actions).expect("a call was made");
        let mut actions = rig.timer(wait);
        assert!(rig
            .counted(&format!("q{customer:x}.250"), Outcome::Good, 1.0)
            .is_empty());
        // Six attempts in flight at a time, so that the other hosts are never idle.
        loop {
            if let Some((id, host)) = attempt(&actions) {
                in_flight.push_back((id, host));
                sent += 1;
                starting += usize::from(host == HostId(4));
            }
            if in_flight.len() < 6 {
                break;
            }
            rig.now += 10 * MS;
            let (id, host) = in_flight.pop_front().unwrap();
            actions = rig.done(id, 0, host, Outcome::Good, true);
        }
    }
    assert!(
        sent >= 55 && starting <= 6,
        "{starting} of {sent} sends went to a host at a fifth of its capacity"
    );
}

#[test]
fn host_in_slow_start_gets_no_burst_when_others_are_full() {
    let mut rig = Rig::new(settings(), 3);
    let started = rig.now;
    rig.hosts(
        ListMode::Update,
        vec![HostEntry {
            started,
            ..host(4, 2)
        }],
    );
    let mut sent = Vec::new();
    for customer in 0..8 {
        let (_, actions) = rig.request(0, customer, 1.0);
        let wait = counter_wait(&actions).expect("a call was made");
        sent.extend(attempt(&rig.timer(wait)).map(|(_, host)| host));
    }
    assert!(sent.len() < 8, "two at each other host, the rest waits");
    assert!(sent.iter().filter(|host| **host == HostId(4)).count() <= 1);
}

/// Attempts of a limiter.
struct Attempts {
    to_starting_host: usize,
    total: usize,
}

/// Attempts for 200 requests, three in flight at a time, of one of `limiter_count` limiters, with three hosts and one in
/// slow start.
fn slow_start_attempts(limiter_count: u32) -> Attempts {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.limiters.count = limiter_count;
        }),
        3,
    );
    let started = rig.now;
    rig.hosts(
        ListMode::Update,
        vec![HostEntry {
            started,
            ..host(4, 2)
        }],
    );
    let mut in_flight = VecDeque::new();
    let mut attempts = Attempts {
        to_starting_host: 0,
        total: 0,
    };
    for customer in 0..200 {
        rig.now += MS;
        let (_, actions) = rig.request(0, customer, 1.0);
        let Some((name, amount)) = count(&actions) else {
            continue;
        };
        let mut actions = rig.counted(&name, Outcome::Good, amount);
        loop {
            if let Some((id, to)) = attempt(&actions) {
                attempts.total += 1;
                attempts.to_starting_host += usize::from(to == HostId(4));
                in_flight.push_back((id, to));
                if in_flight.len() < 3 {
                    break;
                }
            }
            // Three are in flight, or the limiter has no capacity for more: the oldest is answered.
            let Some((id, to)) = in_flight.pop_front() else {
                break;
            };
            actions = rig.done(id, 0, to, Outcome::Good, true);
            if attempt(&actions).is_none() {
                break;
            }
        }
    }
    attempts
}

#[test]
fn slow_start_part_is_the_same_for_any_number_of_limiters() {
    for limiter_count in [2, 300] {
        let attempts = slow_start_attempts(limiter_count);
        let (starting, sent) = (attempts.to_starting_host, attempts.total);
        // A fifth of a host's capacity is 6% of that of all hosts.
        assert!(
            sent > 100 && starting > 0 && starting * 10 < sent,
            "{starting} of {sent} at one of {limiter_count} limiters"
        );
    }
}

/// Limiters with ten hosts and one in slow start.
fn limiters_with_starting_host(limiter_count: usize) -> Vec<Rig> {
    let rig = |number: usize| {
        let settings = settings_with(|settings| {
            settings.limiters.count = limiter_count as u32;
        });
        // Each has a seed of its own: with one for all, they would all draw alike.
        let mut rig = Rig::seeded(settings, 10, number as u64);
        rig.spread = 1;
        let starting = HostEntry {
            started: rig.now,
            ..host(11, 6)
        };
        rig.hosts(ListMode::Update, vec![starting]);
        rig
    };
    (0..limiter_count).map(rig).collect()
}

/// What all limiters together send to a host in slow start while it may be overloaded, with every fourth attempt one that
/// gets no connection and is retried: within its budget, however many they are and whatever chance adds.
#[test]
fn all_limiters_together_keep_slow_start_budget() {
    // Ten hosts of 100 requests a second, of which two thirds come; the one in slow start has a fifth of that, and may get
    // a multiple of it in the second after its start.
    let each = 100.0;
    let come = 666;
    let set = settings();
    let budget = set.slow_start.overload_factor
        * set.slow_start.initial_capacity
        * each
        * (set.slow_start.overload_duration as f64 / S as f64);
    let bound = budget + 2.0 * budget.sqrt() + 2.0;
    for limiter_count in [3, 30, 300_usize] {
        let mut rigs = limiters_with_starting_host(limiter_count);
        let mut starting = 0;
        let mut sent = 0;
        for number in 0..come {
            let rig = &mut rigs[number % limiter_count];
            rig.now = 1000 * S + number as u64 * S / come as u64;
            let (id, actions) = rig.request(0, number as u64, 1.0);
            let Some((name, amount)) = count(&actions) else {
                continue;
            };
            let mut actions = rig.counted(&name, Outcome::Good, amount);
            for again in 0.. {
                let Some((_, to)) = attempt(&actions) else {
                    break;
                };
                sent += 1;
                starting += usize::from(to == HostId(11));
                let outcome = if sent % 4 == 0 {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Good
                };
                actions = rig.done(id, again, to, outcome, outcome == Outcome::Good);
            }
        }
        assert!(
            sent > come / 2,
            "{sent} of {come} at {limiter_count} limiters"
        );
        assert!(
            starting > 0 && (starting as f64) <= bound,
            "{starting} of {bound} at {limiter_count} limiters"
        );
    }
}
