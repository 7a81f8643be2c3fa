//! The five rules, each with the guard that keeps it.

mod common;
use common::*;
use quartzcleat::api::*;
use quartzcleat::choice::{
    AdmissionSnapshot, CounterCallsSnapshot, EngineSnapshot, SlownessSnapshot, TimedUnits,
};

#[test]
fn a_request_is_answered_before_its_time_is_up() {
    let mut rig = Rig::new(settings(), 0);
    let (id, actions) = rig.request(0, 5, 1.0);
    let deadline = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            timer: timer @ Timer::Deadline { .. },
            after,
        } => Some((*timer, *after)),
        _ => None,
    });
    let (timer, after) = deadline.expect("a deadline timer");
    assert!(after < 3 * S);
    rig.now += after;
    assert!(refused(&rig.timer(timer), id).is_some());
    assert!(rig.timer(timer).is_empty(), "one final answer only");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(3, 5);
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    assert_eq!(
        (
            attempt(&actions),
            refused(&actions, id),
            failed(&actions, id)
        ),
        (None, None, true)
    );
    // One that never ran may go again.
    let (id, host) = rig.passed(3, 6);
    let actions = rig.done(id, 0, host, Outcome::ConnectFailed, false);
    assert!(attempt(&actions).is_some_and(|(_, again)| again != host));
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_group_and_time() {
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(1, 5);
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    let (_, again) = attempt(&actions).expect("a further attempt");
    assert_eq!(again.0.div_ceil(2), host.0.div_ceil(2), "same cell");
    // Only as long as its group knows the attempt before; a first attempt may begin whenever it does.
    let within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Attempt { begins_within, .. } => Some(*begins_within),
            _ => None,
        })
    };
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(1, 5);
    rig.now += S / 2;
    assert_eq!(
        within(&rig.done(id, 0, host, Outcome::Reset, false)),
        Some(3 * S / 2)
    );
    let (id, host) = rig.passed(1, 6);
    rig.now += S / 4;
    assert_eq!(
        within(&rig.done(id, 0, host, Outcome::ConnectFailed, false)),
        Some(u64::MAX)
    );
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(1, 5);
    rig.now += 2 * S + MS;
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    assert_eq!((attempt(&actions), failed(&actions, id)), (None, true));
}

/// A class that gets stricter has a number of its own; who was taken before keeps the old one, and the fewer attempts
/// that are allowed from then on hold for all.
#[test]
fn new_settings_hold_for_what_comes_after_them() {
    let mut rig = Rig::new(settings(), 4);
    let (under_way, host) = rig.passed(0, 5);
    let strict = Class {
        effect: Effect::Unsafe,
        ..settings().classes[0].clone()
    };
    let mut new = Settings {
        max_attempts: 2,
        ..settings()
    };
    new.classes.push(strict);
    assert!(rig
        .event(Event::SettingsChanged {
            settings: Box::new(new)
        })
        .is_empty());
    let actions = rig.done(under_way, 0, host, Outcome::Reset, false);
    let (_, again) = attempt(&actions).expect("its class is safe to repeat");
    let actions = rig.done(under_way, 1, again, Outcome::Rejected, false);
    assert_eq!(attempt(&actions), None, "two attempts at most");
    let (after, host) = rig.passed(4, 6);
    let actions = rig.done(after, 0, host, Outcome::Reset, false);
    assert_eq!((attempt(&actions), failed(&actions, after)), (None, true));
}

/// Hosts warm by requests: one whose answers come as soon as others' gets more than by its age alone, one whose
/// answers are slow gets its least part, and neither as much as may tip it.
#[test]
fn a_cold_host_that_answers_well_gets_more() {
    let part_of = |slow: u64| {
        let mut rig = Rig::new(settings(), 3);
        let cold = HostEntry {
            started: rig.now,
            ..paired(3)
        };
        rig.hosts(ListMode::Update, vec![cold]);
        let (mut to_cold, mut all) = (0, 0);
        for customer in 0..600 {
            let (id, host) = rig.passed(0, customer);
            let elapsed = if host == HostId(3) {
                slow * 20 * MS
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
            to_cold += u32::from(host == HostId(3));
        }
        f64::from(to_cold) / f64::from(all)
    };
    let (slow, well) = (part_of(4), part_of(1));
    // It has a fifth of what it will have, two others are warm: its part of the fleet is a eleventh.
    let least = 0.2 / 2.2;
    assert!(
        slow < least && well > 1.2 * slow && well < 1.25 * least,
        "{slow} {well}"
    );
}

/// A gateway in another's place goes on from what that one had learned; of a host that is another process now, of
/// requests under way, and of what is out of range, nothing holds.
#[test]
fn what_was_learned_holds_in_the_next_one_s_hands() {
    let mut named = settings();
    named
        .classes
        .iter_mut()
        .zip(["a", "b", "c", "d"])
        .for_each(|(class, name)| class.name = name.into());
    let mut first = Rig::new(named.clone(), 3);
    for customer in 0..30 {
        let (id, host) = first.passed(0, customer);
        let elapsed = if host == HostId(2) { 400 * MS } else { 20 * MS };
        first.ended(
            id,
            host,
            Ended {
                elapsed,
                ..Ended::default()
            },
        );
    }
    first.passed(0, 99);
    let told = first.gateway.snapshot();
    let slowness = |rig: &Rig, host: usize| rig.gateway.snapshot().hosts[host - 1].slowness.value;
    assert!(slowness(&first, 2) > 2.0 && told.customers.len() == 31);
    let second = |told: &EngineSnapshot, later: u64| {
        let mut rig = Rig::new(named.clone(), 3);
        rig.hosts(
            ListMode::Update,
            vec![HostEntry {
                started: rig.now,
                ..paired(1)
            }],
        );
        rig.now += later;
        assert!(rig
            .event(Event::SnapshotInherited {
                learned: Box::new(told.clone())
            })
            .is_empty());
        rig
    };
    let heir = second(&told, 0);
    assert_eq!(slowness(&heir, 2), slowness(&first, 2));
    assert_eq!(slowness(&heir, 1), 1.0, "it has started anew");
    let now = heir.gateway.snapshot();
    assert_eq!(
        (&now.classes, &now.customers, now.concurrency_limit),
        (&told.classes, &told.customers, told.concurrency_limit)
    );
    assert_eq!(now.classes.len(), settings().classes.len() + 1);
    assert_eq!(
        heir.gateway.status().in_flight,
        0,
        "what is out stays with the first"
    );
    assert_eq!(
        second(&told, 11 * S).gateway.snapshot().customers,
        [],
        "too old"
    );
    let mut broken = EngineSnapshot {
        counter_calls: CounterCallsSnapshot {
            ratio: f64::NAN,
            mean_need: -1.0,
        },
        admission: AdmissionSnapshot {
            ratio: 9.0,
            mean_lateness: f64::INFINITY,
            measured_at: u64::MAX,
            success_lateness: -1.0,
        },
        ..told
    };
    broken.concurrency_limit = f64::NAN;
    for host in &mut broken.hosts {
        host.slowness = SlownessSnapshot {
            value: -5.0,
            evidence: 1e300,
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
    let (mut rig, fresh) = (
        second(&broken, 0),
        Rig::new(named.clone(), 3).gateway.snapshot(),
    );
    let now = rig.gateway.snapshot();
    assert_eq!(
        (
            now.counter_calls.ratio,
            now.admission.ratio,
            now.concurrency_limit
        ),
        (fresh.counter_calls.ratio, 1.0, fresh.concurrency_limit)
    );
    let (id, host) = rig.passed(0, 5);
    rig.done(id, 0, host, Outcome::Good, true);
}

/// With every host out of service a request is refused at the next look, and told when to come; where none was ever
/// listed it waits for a list.
#[test]
fn where_no_listed_host_serves_nobody_waits_for_one() {
    let answer = |hosts: u32| {
        let mut rig = Rig::new(settings(), hosts);
        rig.spread = 1;
        let out = |id| HostEntry {
            state: HostState::Draining,
            ..paired(id)
        };
        rig.hosts(ListMode::Update, (1..=hosts).map(out).collect());
        let (id, add) = rig.request(0, 5, 0.1);
        let (name, amount) = count(&add).expect("an add before the verdict");
        let mut actions = rig.counted(&name, Outcome::Good, amount);
        if let Some((previous, _)) = count(&actions) {
            actions = rig.counted(&previous, Outcome::Good, 0.0);
        }
        actions.extend(rig.timer(Timer::ReleaseQueue));
        refused(&actions, id)
    };
    assert!(answer(3).is_some_and(|wait| wait > 0), "refused at once");
    assert_eq!(answer(0), None, "it waits");
}

/// Where hosts are short, what is worth more for its work goes first, though it came later.
#[test]
fn who_waits_goes_by_worth_for_work() {
    let mut settings = settings();
    settings.classes[2].priority_weight = 3.0;
    settings.plans[0].weight_factor = 1.0;
    let mut rig = Rig::new(settings, 1);
    // The one host is full; two wait, the worthier behind the other.
    let ask = |rig: &mut Rig, class, customer| {
        let (id, add) = rig.request(class, customer, 0.1);
        let (name, amount) = count(&add).expect("an add before the verdict");
        let mut actions = rig.counted(&name, Outcome::Good, amount);
        if let Some((previous, _)) = count(&actions) {
            actions = rig.counted(&previous, Outcome::Good, 0.0);
        }
        (id, attempt(&actions))
    };
    let mut out = Vec::new();
    let waiting = loop {
        match ask(&mut rig, 0, 5) {
            (_, Some(sent)) => out.push(sent),
            (id, None) => break id,
        }
    };
    let (worthier, sent) = ask(&mut rig, 2, 6);
    assert_eq!(sent, None);
    let mut order = Vec::new();
    for (id, host) in out {
        let actions = rig.done(id, 0, host, Outcome::Good, true);
        order.extend(actions.iter().filter_map(as_attempt).map(|(id, _)| id));
    }
    assert_eq!(order[..2], [worthier, waiting]);
}

#[test]
fn one_attempt_at_a_time() {
    let mut rig = Rig::new(settings(), 4);
    let (id, _) = rig.passed(0, 5);
    for timer in [Timer::CounterWait { id }, Timer::ReleaseQueue] {
        assert_eq!(attempt(&rig.timer(timer)), None);
    }
}

#[test]
fn nothing_goes_to_a_draining_or_vanished_host() {
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

#[test]
fn a_cold_host_gets_its_part_only() {
    let mut rig = Rig::new(settings(), 3);
    let now = rig.now;
    rig.hosts(
        ListMode::Update,
        vec![HostEntry {
            started: now,
            ..host(4, 2)
        }],
    );
    let (mut cold, mut sends, mut out) = (0, 0, std::collections::VecDeque::new());
    for customer in 0..60 {
        let (_, actions) = rig.request(0, customer, 1.0);
        let wait = counter_wait(&actions).expect("a call was made");
        let mut actions = rig.timer(wait);
        assert!(rig
            .counted(&format!("q{customer:x}.250"), Outcome::Good, 1.0)
            .is_empty());
        // Six attempts out at a time, so that the warm hosts are never idle.
        loop {
            if let Some((id, host)) = attempt(&actions) {
                out.push_back((id, host));
                sends += 1;
                cold += usize::from(host == HostId(4));
            }
            if out.len() < 6 {
                break;
            }
            rig.now += 10 * MS;
            let (id, host) = out.pop_front().unwrap();
            actions = rig.done(id, 0, host, Outcome::Good, true);
        }
    }
    assert!(
        sends >= 55 && cold <= 6,
        "{cold} of {sends} sends went to a host at a fifth of its capacity"
    );
}

#[test]
fn the_ceiling_holds_with_a_silent_counter_and_after_a_restart() {
    let mut set = settings();
    set.plans[0].ceiling_rate = 20.0;
    set.plans[0].ceiling_burst = 40.0;
    set.plans[0].rate = 1e6;
    let mut rig = Rig::new(set, 8);
    // Just started: the store may be spent, so nothing goes at once ...
    let (_, actions) = rig.request(0, 5, 4.0);
    assert_eq!(attempt(&actions), None);
    // ... and later only this gateway's share of what has refilled.
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

#[test]
fn the_open_cap_counts_what_is_out() {
    let mut set = settings();
    set.plans[0].open = 2;
    let mut rig = Rig::new(set, 8);
    let (first, host) = rig.passed(0, 5);
    rig.passed(0, 5);
    let (third, actions) = rig.request(0, 5, 1.0);
    let wait = counter_wait(&actions).expect("a call was made");
    assert_eq!(
        attempt(&rig.timer(wait)),
        None,
        "two are out, so the third waits"
    );
    let actions = rig.done(first, 0, host, Outcome::Good, true);
    assert_eq!(attempt(&actions).map(|a| a.0), Some(third));
}

#[test]
fn a_settled_guess_goes_along_with_the_next_add_up_to_the_most_a_request_counts() {
    for (told, next) in [
        (3.5, 3.5),
        (0.5, 0.5),
        (400.0, 4.0),
        (-3.0, 1.0),
        (f64::NAN, 1.0),
    ] {
        let set = Settings {
            settled_later: true,
            ..settings()
        };
        let mut rig = Rig::new(set, 2);
        let (id, host) = rig.passed(0, 5);
        let actions = rig.ended(
            id,
            host,
            Ended {
                true_units: told,
                ..Ended::default()
            },
        );
        assert_eq!(count(&actions), None, "no call of its own");
        let (_, actions) = rig.request(0, 5, 1.0);
        assert_eq!(
            count(&actions),
            Some(("q5.250".into(), next)),
            "a guess of 1, then {told}, and 1 more"
        );
    }
}

#[test]
fn a_settled_guess_is_told_at_once_where_few_of_a_customers_requests_come() {
    let mut rig = Rig::new(
        Settings {
            settled_later: true,
            limiter_count: 100,
            ..settings()
        },
        2,
    );
    rig.spread = 100;
    let (id, host) = rig.passed(0, 5);
    let actions = rig.ended(
        id,
        host,
        Ended {
            true_units: 3.5,
            ..Ended::default()
        },
    );
    assert_eq!(count(&actions), Some(("q5.250".into(), 2.5)));
}

#[test]
fn a_stream_that_has_begun_has_no_deadline() {
    let mut rig = Rig::new(settings(), 2);
    let (id, host) = rig.passed(0, 5);
    rig.event(Event::StreamStarted {
        id,
        attempt: 0,
        host,
        elapsed: MS,
    });
    rig.now += 3 * S;
    assert!(rig.timer(Timer::Deadline { id }).is_empty());
}

#[test]
fn a_failing_host_is_left_alone_but_never_the_whole_fleet() {
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
fn contradictory_settings_lead_to_a_final_answer() {
    let plan = |rate: f64, burst: f64, ceiling_rate: f64, ceiling_burst: f64| Plan {
        rate,
        burst,
        ceiling_rate,
        ceiling_burst,
        ..Plan::default()
    };
    for plan in [
        plan(0.0, 20.0, 0.0, 0.0),
        plan(1e-9, 0.0, 0.0, 0.0),
        plan(1e9, 1.0, 0.0, 0.0),
        plan(1.0, 1.0, 0.5, 0.1),
    ] {
        for (limiter_count, hosts, classes) in
            [(0, 0, vec![]), (1, 1, settings().classes), (9, 2, vec![])]
        {
            let mut rig = Rig::new(
                Settings {
                    plans: vec![plan.clone()],
                    limiter_count,
                    classes,
                    tick: 0,
                    ..settings()
                },
                hosts,
            );
            let (id, mut actions) = rig.request(0, 5, 1e6);
            rig.now += 3 * S;
            for timer in timers(&actions) {
                actions.extend(rig.timer(timer));
            }
            let answers = actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
                .count();
            assert_eq!(
                answers, 1,
                "request {id:?} with {plan:?}, {limiter_count} gateways, {hosts} hosts: {actions:?}"
            );
        }
    }
}

#[test]
fn a_cold_host_takes_no_burst_when_the_warm_ones_are_full() {
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
    assert!(sent.len() < 8, "two at each warm host, the rest waits");
    assert!(sent.iter().filter(|host| **host == HostId(4)).count() <= 1);
}

/// Sends of 200 requests, three out at a time, at one of `limiter_count`, to three warm hosts and a cold one.
fn cold_sends(limiter_count: u32) -> (usize, usize) {
    let mut rig = Rig::new(
        Settings {
            limiter_count,
            ..settings()
        },
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
    let (mut out, mut cold, mut sends) = (std::collections::VecDeque::new(), 0, 0);
    for customer in 0..200 {
        rig.now += MS;
        let (_, actions) = rig.request(0, customer, 1.0);
        let Some((name, amount)) = count(&actions) else {
            continue;
        };
        let mut actions = rig.counted(&name, Outcome::Good, amount);
        loop {
            if let Some((id, to)) = attempt(&actions) {
                (sends, cold) = (sends + 1, cold + usize::from(to == HostId(4)));
                out.push_back((id, to));
                if out.len() < 3 {
                    break;
                }
            }
            // Three are out, or the gateway has no room for more: the oldest is answered.
            let Some((id, to)) = out.pop_front() else {
                break;
            };
            actions = rig.done(id, 0, to, Outcome::Good, true);
            if attempt(&actions).is_none() {
                break;
            }
        }
    }
    (cold, sends)
}

#[test]
fn a_cold_host_draws_its_part_of_each_gateways_requests_whatever_the_number_of_gateways() {
    for limiter_count in [2, 300] {
        let (cold, sends) = cold_sends(limiter_count);
        // A fifth of a warm host's capacity is 6% of this fleet's.
        assert!(
            sends > 100 && cold > 0 && cold * 10 < sends,
            "{cold} of {sends} at one of {limiter_count} gateways"
        );
    }
}

/// What all gateways together send to a cold host in the time in which it may tip, every fourth attempt one that gets no
/// connection and goes again: however many they are, and whatever chance adds, within its budget.
#[test]
fn the_sum_of_all_gateways_on_a_cold_host_stays_within_its_budget() {
    // Ten warm hosts of 100 requests a second, of which two thirds come; the cold one has a fifth of that, and may get so
    // many times as much in the second after its start.
    let (each, come) = (100.0, 666);
    let set = settings();
    let budget = set.overload_factor
        * set.slow_start_floor
        * each
        * (set.overload_duration as f64 / S as f64);
    let bound = budget + 2.0 * budget.sqrt() + 2.0;
    for limiter_count in [3, 30, 300_usize] {
        let mut rigs: Vec<_> = (0..limiter_count)
            .map(|number| {
                let set = Settings {
                    limiter_count: limiter_count as u32,
                    ..settings()
                };
                // Each draws by itself: one seed for all would be one gateway's luck many times over.
                let mut rig = Rig::seeded(set, 10, number as u64);
                rig.spread = 1;
                rig.hosts(
                    ListMode::Update,
                    vec![HostEntry {
                        started: rig.now,
                        ..host(11, 6)
                    }],
                );
                rig
            })
            .collect();
        let (mut cold, mut sends) = (0, 0);
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
                (sends, cold) = (sends + 1, cold + usize::from(to == HostId(11)));
                let outcome = if sends % 4 == 0 {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Good
                };
                actions = rig.done(id, again, to, outcome, outcome == Outcome::Good);
            }
        }
        assert!(
            sends > come / 2,
            "{sends} of {come} at {limiter_count} gateways"
        );
        assert!(
            cold > 0 && (cold as f64) <= bound,
            "{cold} of {bound} at {limiter_count} gateways"
        );
    }
}

#[test]
fn late_answers_from_any_host_cut_what_is_let_in_and_prompt_ones_restore_it() {
    let mut rig = Rig::new(
        Settings {
            counter: false,
            ..settings()
        },
        40,
    );
    let mut run = |elapsed: u64| {
        let mut refusals = 0;
        for customer in 0..100 {
            rig.now += 100 * MS;
            let (id, actions) = rig.request(0, customer, 1.0);
            refusals += usize::from(refused(&actions, id).is_some());
            if let Some((id, host)) = attempt(&actions) {
                rig.ended(
                    id,
                    host,
                    Ended {
                        elapsed,
                        ..Ended::default()
                    },
                );
            }
        }
        refusals
    };
    assert_eq!(run(100 * MS), 0);
    assert!(
        run(900 * MS) > 50,
        "most are turned away while answers take 0.9 of the aim"
    );
    let recovering: Vec<usize> = (0..4).map(|_| run(100 * MS)).collect();
    assert!(recovering[0] > recovering[3]);
    assert_eq!(run(100 * MS), 0, "all are let in again");
}

#[test]
fn a_gateway_that_stood_still_blames_no_host() {
    let mut rig = Rig::new(
        Settings {
            counter: false,
            ..settings()
        },
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
    // Two seconds without a turn, then timers and answers in a heap; the answers themselves were prompt.
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
        assert!(refused(&actions, id).is_none(), "shed for its own pause");
    }
}

/// A rig with an attempt out at a host.
fn with_attempt_out() -> (Rig, RequestId, HostId) {
    let mut rig = Rig::new(
        Settings {
            may_health_check: true,
            may_message_peers: true,
            ..settings()
        },
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
        let (mut rig, id, host) = with_attempt_out();
        for name in ["queue", "qps", "util", "", "no such value"] {
            let load: Load = vec![(name.to_owned(), value); 3];
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
        let load = vec![("queue".to_owned(), value)];
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
    let (mut rig, id, host) = with_attempt_out();
    for bytes in [vec![], vec![0xff; 256], vec![0; 4096], b"hello".to_vec()] {
        for from in [0, 1, 7, u32::MAX] {
            let event = Event::Peer {
                from,
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
    let (mut rig, id, host) = with_attempt_out();
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
    // The attempt that is out still gets its retry.
    assert!(attempt(&rig.done(id, 0, host, Outcome::Reset, false)).is_some());
}

#[test]
fn a_clock_step_keeps_the_rules() {
    let (mut rig, id, host) = with_attempt_out();
    rig.hosts(
        ListMode::Update,
        vec![HostEntry {
            state: HostState::Draining,
            ..paired(host.0)
        }],
    );
    // Ten minutes later, then a clock that seems to go back.
    rig.now += 600 * S;
    assert!(refused(&rig.timer(Timer::Deadline { id }), id).is_some());
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

#[test]
fn an_unknown_class_or_plan_is_sent_once_and_never_repeated() {
    let mut rig = Rig::new(settings(), 4);
    let id = RequestId(5000);
    let (customer, budget, units, spread, first_limiter, flags) =
        (CustomerId(5), 3 * S, 1.0, 2, 0, 0);
    let (class, plan) = (99, 99);
    let request = Event::Request {
        id,
        class,
        plan,
        customer,
        budget,
        units,
        spread,
        first_limiter,
        flags,
    };
    let (_, host) = attempt(&rig.event(request)).expect("without a quota it goes on");
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    assert_eq!((attempt(&actions), failed(&actions, id)), (None, true));
}

#[test]
fn what_is_given_up_on_is_answered_finally_at_its_aim() {
    // By class: what is safe to repeat is refused, what may have run unsafely fails. While answers are late and
    // requests are shed, and where nothing can be cancelled, they are told just as soon.
    for (class, late_weight, may_cancel, shedding) in [
        (0, 0.0, true, false),
        (0, 0.0, false, false),
        (0, 0.0, true, true),
        (3, 0.0, true, true),
        (0, 0.2, true, false),
    ] {
        let mut set = settings();
        set.may_cancel = may_cancel;
        set.classes[class as usize].late_weight = late_weight;
        let mut rig = Rig::new(set, 4);
        let (id, _) = rig.passed(class, 5);
        if shedding {
            rig.now += S / 2;
            let (other, host) = rig.passed(0, 6);
            rig.done(other, 0, host, Outcome::Rejected, true);
        }
        rig.now = 1000 * S + S;
        let actions = rig.timer(Timer::LatencyObjective { id });
        let given_up = late_weight <= 0.0;
        assert_eq!(
            refused(&actions, id),
            (given_up && class == 0).then_some(2 * S)
        );
        assert_eq!(failed(&actions, id), given_up && class == 3);
        assert_eq!(
            actions.contains(&Action::CancelAttempt { id, attempt: 0 }),
            given_up && may_cancel
        );
    }
}

#[test]
fn a_gateway_has_no_more_out_than_its_share_until_answers_come() {
    // Six attempts a host are given out at the start, over all gateways: hundreds cannot fill the hosts at once.
    for (limiter_count, share) in [(2, 30), (20, 3), (340, 1)] {
        let mut set = settings();
        set.limiter_count = limiter_count;
        set.plans[0].rate = 0.0;
        let mut rig = Rig::new(set, 10);
        let mut sent = Vec::new();
        for customer in 0..60 {
            let (_, actions) = rig.request(0, customer, 1.0);
            sent.extend(attempt(&actions));
        }
        assert!(
            sent.len() <= share && sent.len() * 2 >= share,
            "{} sent by one of {limiter_count}",
            sent.len()
        );
        // Each prompt answer makes room for what waits, and a little more.
        for _ in 0..20 {
            rig.now += MS;
            let (id, host) = sent.remove(0);
            sent.extend(
                rig.done(id, 0, host, Outcome::Good, true)
                    .iter()
                    .filter_map(as_attempt),
            );
            assert!(!sent.is_empty());
        }
        assert!(
            sent.len() > share.min(15),
            "{} out after prompt answers, {share} at the start",
            sent.len()
        );
    }
}

#[test]
fn who_is_shed_is_told_to_come_back_while_its_aim_can_be_met() {
    let mut set = settings();
    set.plans[0].rate = 0.0;
    let mut rig = Rig::new(set, 4);
    let mut shed = 0;
    for customer in 0..40 {
        rig.now += 100 * MS;
        let (id, actions) = rig.request(0, customer, 1.0);
        if let Some(retry_after) = refused(&actions, id) {
            assert!(
                retry_after > 0 && retry_after <= S / 2,
                "{retry_after} of an aim of a second"
            );
            shed += 1;
        }
        if let Some((id, host)) = attempt(&actions) {
            // Every answer is late: the next requests are shed.
            rig.ended(
                id,
                host,
                Ended {
                    elapsed: S - MS,
                    ..Ended::default()
                },
            );
        }
    }
    assert!(shed > 10, "{shed} shed");
}

#[test]
fn what_finds_no_room_waits_a_part_of_its_aim_and_may_then_try_elsewhere() {
    let mut set = settings();
    set.limiter_count = 340;
    let mut rig = Rig::new(set, 4);
    rig.passed(0, 5);
    let (id, actions) = rig.request(0, 6, 1.0);
    let (name, _) = count(&actions).expect("an add before the verdict");
    if let Some((previous, _)) = count(&rig.counted(&name, Outcome::Good, 1.0)) {
        rig.counted(&previous, Outcome::Good, 0.0);
    }
    rig.now += 200 * MS;
    assert_eq!(refused(&rig.timer(Timer::ReleaseQueue), id), None);
    rig.now += 100 * MS;
    let actions = rig.timer(Timer::ReleaseQueue);
    assert_eq!(
        refused(&actions, id),
        Some(S / 4),
        "in time for another try"
    );
    // It was never sent on, so its add is taken back.
    assert_eq!(count(&actions), Some((name, -1.0)));
}

#[test]
fn a_gateways_room_follows_the_hosts_that_are_listed() {
    let mut set = settings();
    set.limiter_count = 20;
    set.plans[0].rate = 0.0;
    let mut rig = Rig::new(set, 40);
    // Two thirds of the hosts vanish at once: what may be out is cut at once, not with the answers to come.
    for (hosts, share) in [(40, 12), (13, 4)] {
        rig.hosts(ListMode::Replace, (1..=hosts).map(paired).collect());
        let mut sent = Vec::new();
        for customer in 0..60 {
            sent.extend(attempt(&rig.request(0, customer, 1.0).1));
        }
        assert_eq!(sent.len(), share);
        // Neither prompt nor late: the room stays as it is, and what waited is refused in time.
        rig.now += 300 * MS;
        rig.timer(Timer::ReleaseQueue);
        for (id, host) in sent {
            rig.ended(
                id,
                host,
                Ended {
                    elapsed: 300 * MS,
                    ..Ended::default()
                },
            );
        }
    }
}

#[test]
fn a_zone_that_was_lost_and_is_back_gets_its_part_again() {
    let mut rig = Rig::new(
        Settings {
            limiter_count: 300,
            ..settings()
        },
        0,
    );
    let zoned = |id: u32| HostEntry {
        zone: id % 2,
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
        "{shunned} of 100 to a lost zone, {back} when it was back"
    );
}

#[test]
fn lost_answers_shed_little_while_those_that_come_are_prompt() {
    // Four in ten answers never come; the others take a twentieth of their aim, or four tenths of it.
    for (elapsed, sheds) in [(S / 20, false), (S * 2 / 5, true)] {
        let mut set = settings();
        set.plans[0].rate = 0.0;
        let mut rig = Rig::new(set, 20);
        let (mut shed, mut out) = (0, Vec::<(u64, RequestId, HostId, bool)>::new());
        for customer in 0..400 {
            rig.now += 20 * MS;
            let (done, rest): (Vec<_>, Vec<_>) =
                out.into_iter().partition(|(due, ..)| *due <= rig.now);
            out = rest;
            for (_, id, host, answered) in done {
                if answered {
                    rig.ended(
                        id,
                        host,
                        Ended {
                            elapsed,
                            ..Ended::default()
                        },
                    );
                } else {
                    rig.timer(Timer::LatencyObjective { id });
                    rig.done(id, 0, host, Outcome::Cancelled, true);
                }
            }
            let (id, actions) = rig.request(0, customer, 1.0);
            shed += usize::from(refused(&actions, id).is_some());
            if let Some((id, host)) = attempt(&actions) {
                let answered = customer % 5 > 1;
                out.push((
                    rig.now + if answered { elapsed } else { S },
                    id,
                    host,
                    answered,
                ));
            }
        }
        assert_eq!(shed > 100, sheds, "{shed} of 400 shed");
    }
}

#[test]
fn what_never_ran_is_sent_again_though_no_retries_are_saved() {
    // The first retry spends what is saved; after it only what surely never ran goes again.
    for (outcome, again) in [
        (Outcome::Rejected, 4),
        (Outcome::ConnectFailed, 4),
        (Outcome::Reset, 1),
    ] {
        let mut rig = Rig::new(settings(), 12);
        let (id, mut host) = rig.passed(0, 5);
        let mut sent_again = 0;
        while let Some((_, next)) = attempt(&rig.done(id, sent_again, host, outcome, false)) {
            (host, sent_again) = (next, sent_again + 1);
        }
        assert_eq!(sent_again, again, "{outcome:?}: five attempts at most");
    }
}

/// Customers and hosts that are gone leave nothing behind, as long as the day may be.
#[test]
fn what_is_gone_is_forgotten() {
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
    let held = format!("{:?}", rig.gateway);
    // Two windows of 4 s, and the four hosts that are still there.
    assert!(held.matches("last_seen").count() <= 10, "{held}");
    assert_eq!(held.matches("evidence").count(), 4);
}
