//! The weighted two-window count and what stands in for it while the counter is in trouble. With a rate of 12.5
//! and a burst of 40 the window is 4 s long and takes 50 units at the rate; at most 22 are in store as one begins. The
//! tests start on a window's edge.

mod common;
use common::*;
use quartzcleat::api::*;

#[test]
fn the_add_comes_before_the_verdict() {
    let mut rig = Rig::new(settings(), 2);
    rig.now += 3_600 * MS;
    let (id, actions) = rig.request(0, 5, 3.0);
    assert_eq!(count(&actions), Some(("q5.250".into(), 3.0)));
    assert_eq!(attempt(&actions), None);
    assert_eq!(
        attempt(&rig.counted("q5.250", Outcome::Good, 44.0)).map(|a| a.0),
        Some(id)
    );
}

#[test]
fn a_refused_add_is_taken_back_and_told_the_rest_of_the_window() {
    let mut rig = Rig::new(settings(), 2);
    rig.now += S;
    let (id, _) = rig.request(0, 5, 3.0);
    let actions = rig.counted("q5.250", Outcome::Good, 61.0);
    assert_eq!(refused(&actions, id), Some(3 * S));
    assert_eq!(count(&actions), Some(("q5.250".into(), -3.0)));
    assert_eq!(attempt(&actions), None);
}

#[test]
fn a_spent_limit_still_refuses_in_part_half_a_window_later() {
    let mut rig = Rig::new(settings(), 2);
    // The window before was spent by other gateways with all that was in store: half a window's units are left.
    rig.now += 2 * S;
    let (first, _) = rig.request(0, 5, 4.0);
    let actions = rig.counted("q5.250", Outcome::Good, 25.0);
    assert_eq!(
        attempt(&actions).map(|a| a.0),
        Some(first),
        "as much came since, whatever was before"
    );
    let (second, _) = rig.request(0, 5, 1.0);
    let actions = rig.counted("q5.250", Outcome::Good, 26.0);
    assert_eq!(
        count(&actions),
        Some(("q5.249".into(), 0.0)),
        "now the verdict hangs on the window before"
    );
    let actions = rig.counted("q5.249", Outcome::Good, 72.0);
    assert_eq!(refused(&actions, second), Some(2 * S));
}

#[test]
fn the_previous_window_is_read_once() {
    let mut rig = Rig::new(settings(), 2);
    rig.now += 2 * S;
    rig.request(0, 5, 1.0);
    let reads = rig.counted("q5.250", Outcome::Good, 35.0);
    assert_eq!(count(&reads), Some(("q5.249".into(), 0.0)));
    // A second request meanwhile waits for the same read; a third after it needs none.
    rig.request(0, 5, 1.0);
    assert_eq!(count(&rig.counted("q5.250", Outcome::Good, 36.0)), None);
    let actions = rig.counted("q5.249", Outcome::Good, 10.0);
    assert_eq!(
        actions
            .iter()
            .filter(|a| matches!(a, Action::Attempt { .. }))
            .count(),
        2
    );
    rig.request(0, 5, 1.0);
    let actions = rig.counted("q5.250", Outcome::Good, 37.0);
    assert_eq!((count(&actions), attempt(&actions).is_some()), (None, true));
}

#[test]
fn requests_pass_while_the_counter_is_silent() {
    let mut rig = Rig::new(settings(), 2);
    let (id, actions) = rig.request(0, 5, 1.0);
    let wait = counter_wait(&actions).expect("a call was made");
    rig.now += 50 * MS;
    assert_eq!(attempt(&rig.timer(wait)).map(|a| a.0), Some(id));
    // The late answer changes nothing any more.
    let actions = rig.counted("q5.250", Outcome::Timeout, 0.0);
    assert!(actions.iter().all(|a| matches!(a, Action::Log { .. })));
}

#[test]
fn a_known_offender_does_not_pass_while_the_counter_is_silent() {
    let mut rig = Rig::new(settings(), 2);
    rig.request(0, 5, 1.0);
    rig.counted("q5.250", Outcome::Good, 70.0);
    rig.counted("q5.250", Outcome::Timeout, 0.0);
    rig.now += S / 2;
    let (id, actions) = rig.request(0, 5, 1.0);
    assert!(refused(&actions, id).is_some());
}

#[test]
fn a_customer_known_to_be_over_costs_no_call_until_its_estimate_falls() {
    let mut rig = Rig::new(settings(), 2);
    rig.request(0, 5, 1.0);
    rig.counted("q5.250", Outcome::Good, 70.0);
    let (id, actions) = rig.request(0, 5, 1.0);
    assert_eq!(count(&actions), None);
    // Windows are of 4 s here, and 1000 s is the start of one.
    assert_eq!(refused(&actions, id), Some(4 * S));
}

#[test]
fn a_counter_back_empty_gives_no_fresh_quota() {
    let mut rig = Rig::new(settings(), 2);
    rig.passed(0, 5);
    let (_, _) = rig.request(0, 5, 4.0);
    rig.counted("q5.250", Outcome::Good, 21.0);
    // The name starts again at nothing, though this gateway alone had put 5 there.
    let (id, _) = rig.request(0, 5, 4.0);
    let actions = rig.counted("q5.250", Outcome::Good, 4.0);
    assert!(refused(&actions, id).is_some());
}

/// Two calls that the counter took in the other order tell totals that fall; nothing was forgotten.
#[test]
fn calls_that_overtake_each_other_do_not_look_like_a_counter_that_forgot() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..4 {
        rig.request(0, 5, 4.0);
    }
    // The first was counted last, behind 3 of this gateway's own; the others follow with less.
    for total in [16.0, 4.0, 8.0, 12.0] {
        rig.counted("q5.250", Outcome::Good, total);
    }
    rig.now += 2 * S;
    let (id, _) = rig.request(0, 5, 1.0);
    assert_eq!(
        attempt(&rig.counted("q5.250", Outcome::Good, 17.0)).map(|a| a.0),
        Some(id),
        "17 of 25 are used"
    );
}

/// How many of `requests`, each of another customer, ask the counter when all calls end with `outcome`.
fn asked(rig: &mut Rig, requests: u64, outcome: Outcome) -> usize {
    let mut asked = 0;
    for customer in 0..requests {
        let (_, actions) = rig.request(0, 1000 + customer, 1.0);
        if let Some((name, amount)) = count(&actions) {
            asked += 1;
            rig.counted(&name, outcome, amount);
        }
    }
    asked
}

#[test]
fn few_requests_ask_a_counter_that_fails_and_all_do_once_it_answers() {
    let mut rig = Rig::new(settings(), 2);
    asked(&mut rig, 100, Outcome::Timeout);
    let failing = asked(&mut rig, 200, Outcome::Timeout);
    assert!(
        (1..=40).contains(&failing),
        "{failing} of 200 requests asked a counter that never answers"
    );
    asked(&mut rig, 300, Outcome::Good);
    assert_eq!(asked(&mut rig, 50, Outcome::Good), 50);
}

#[test]
fn without_the_counter_a_crowd_of_gateways_keeps_to_the_share_of_each() {
    // 100 gateways and a limit of 60 units: each may pass its first request, then 0.15 units a second.
    let mut rig = Rig::new(
        Settings {
            counter: false,
            limiter_count: 100,
            ..settings()
        },
        40,
    );
    rig.spread = 100;
    let mut passed = 0;
    for _ in 0..100 {
        rig.now += S / 10;
        let (id, actions) = rig.request(0, 5, 4.0);
        let retry_after = refused(&actions, id);
        passed += usize::from(retry_after.is_none());
        // Beyond the share of this gateway only: another try may be in time.
        assert!(retry_after.is_none_or(|after| after == S / 4));
    }
    assert!(
        (1..=2).contains(&passed),
        "{passed} requests of 4 units in 10 s"
    );
}

#[test]
fn a_turned_away_add_is_counted_once() {
    let mut rig = Rig::new(settings(), 2);
    let (id, _) = rig.request(0, 5, 3.0);
    assert_eq!(
        attempt(&rig.counted("q5.250", Outcome::Rejected, 0.0)).map(|a| a.0),
        Some(id)
    );
    let (_, actions) = rig.request(0, 5, 3.0);
    assert_eq!(count(&actions), Some(("q5.250".into(), 6.0)));
}

#[test]
fn use_beyond_the_quota_goes_on_only_where_it_pays_and_a_host_is_idle() {
    for (over_quota_weight, hosts, passes) in [(0.2, 2, true), (0.0, 2, false), (0.2, 0, false)] {
        let mut set = settings();
        set.plans[0].over_quota_weight = over_quota_weight;
        let mut rig = Rig::new(set, hosts);
        let (id, _) = rig.request(0, 5, 1.0);
        let actions = rig.counted("q5.250", Outcome::Good, 70.0);
        assert_eq!(
            (attempt(&actions).is_some(), refused(&actions, id).is_none()),
            (passes, passes)
        );
        assert_eq!(
            count(&actions),
            Some(("q5.250".into(), -1.0)),
            "charged to no count either way"
        );
    }
}

#[test]
fn without_a_counter_each_gateway_holds_the_quota_by_its_own_adds() {
    let mut rig = Rig::new(
        Settings {
            counter: false,
            ..settings()
        },
        40,
    );
    let mut passed = 0;
    for _ in 0..30 {
        let (id, actions) = rig.request(0, 5, 4.0);
        assert_eq!(count(&actions), None);
        passed += usize::from(refused(&actions, id).is_none());
    }
    assert!(
        (6..=12).contains(&passed),
        "{passed} requests of 4 units: half of 50 units at least, all at most"
    );
}

/// A hundred gateways before a counter that turns two thirds of the calls away.
fn crowd() -> Rig {
    let mut rig = Rig::new(
        Settings {
            limiter_count: 100,
            ..settings()
        },
        2,
    );
    for customer in 1_000..1_060 {
        rig.spread = 100;
        let (_, actions) = rig.request(0, customer, 2.0);
        if let Some((name, _)) = count(&actions) {
            let outcome = if customer % 3 == 0 {
                Outcome::Good
            } else {
                Outcome::Rejected
            };
            rig.counted(&name, outcome, 2.0);
        }
    }
    rig
}

#[test]
fn where_few_of_a_customers_requests_come_those_that_ask_stand_for_the_others() {
    let mut rig = crowd();
    let (mut asked, mut added) = (0, 0.0);
    for customer in 2_000..4_000 {
        let (_, actions) = rig.request(0, customer, 2.0);
        if let Some((_, amount)) = count(&actions) {
            (asked, added) = (asked + 1, added + amount);
        }
    }
    assert!((100..1_500).contains(&asked), "{asked} of 2,000 asked");
    let part = added / 4_000.0;
    assert!(
        (0.85..1.15).contains(&part),
        "the count holds {part} of what was used"
    );
}

#[test]
fn an_add_that_stands_for_others_is_judged_by_its_own_units_and_taken_back_whole() {
    let mut rig = crowd();
    let found = (5_000..6_000).find_map(|customer| {
        let (id, actions) = rig.request(0, customer, 2.0);
        count(&actions)
            .filter(|(_, amount)| *amount > 4.0)
            .map(|(name, amount)| (id, name, amount))
    });
    let (id, name, amount) = found.expect("some ask, and stand for others");
    // Others used 19 of 22 and it uses 2: within the limit, though the count now says more. What weighs of the
    // window before is unknown, so it is read.
    let reads = rig.counted(&name, Outcome::Good, 19.0 + amount);
    assert_eq!(refused(&reads, id), None);
    let over = (6_000..9_000).find_map(|customer| {
        let (id, actions) = rig.request(0, customer, 2.0);
        count(&actions)
            .filter(|(_, amount)| *amount > 4.0)
            .map(|(name, amount)| (id, name, amount))
    });
    let (id, name, amount) = over.expect("some ask, and stand for others");
    let actions = rig.counted(&name, Outcome::Good, 21.5 + amount);
    assert!(refused(&actions, id).is_some());
    assert_eq!(count(&actions), Some((name, -amount)));
}

#[test]
fn where_few_come_who_comes_often_is_refused_unasked_and_others_pass() {
    let mut rig = crowd();
    let mut passed = [0; 6];
    for customer in 10_000..10_400 {
        for nth in &mut passed {
            let (id, actions) = rig.request(0, customer, 2.0);
            match count(&actions) {
                Some((name, amount)) => drop(rig.counted(&name, Outcome::Rejected, amount)),
                None => *nth += usize::from(refused(&actions, id).is_none()),
            }
        }
    }
    assert!(
        passed[0] > 100,
        "who was not seen before passes: {passed:?}"
    );
    assert_eq!(
        passed[5], 0,
        "the sixth within a moment is far beyond what comes through one of a hundred"
    );
}

#[test]
fn a_crowded_counter_is_asked_by_those_who_bring_most_of_their_limit() {
    let mut rig = Rig::new(settings(), 2);
    asked(&mut rig, 100, Outcome::Timeout);
    let (mut small, mut large) = (0, 0);
    for customer in 0..400 {
        for (units, asks) in [(0.5, &mut small), (4.0, &mut large)] {
            let (_, actions) = rig.request(0, 5000 + 10 * customer + units as u64, units);
            if let Some((name, _)) = count(&actions) {
                *asks += 1;
                rig.counted(&name, Outcome::Timeout, 0.0);
            }
        }
    }
    assert!(
        small > 0 && large > 3 * small,
        "{large} of 400 requests of 4 units, {small} of 400 of half a unit"
    );
}

#[test]
fn who_asks_a_crowded_counter_is_judged_on_the_whole_limit() {
    let mut rig = Rig::new(settings(), 2);
    asked(&mut rig, 100, Outcome::Timeout);
    // At the window's end the one before weighs next to nothing; of 50 units 47 are taken.
    rig.now += 3_999 * MS;
    let passed = (0..400).find_map(|customer| {
        let (id, actions) = rig.request(0, 5000 + customer, 4.0);
        let (name, _) = count(&actions)?;
        let actions = rig.counted(&name, Outcome::Good, 47.0);
        Some(refused(&actions, id).is_none())
    });
    assert_eq!(passed, Some(true));
}

/// How many units of requests of 2 go on as a window begins, after one in which others used so much.
fn passed_after(rig: &mut Rig, used: f64) -> f64 {
    let window = rig.now / (4 * S);
    let (now, before) = (format!("q5.{window}"), format!("q5.{}", window - 1));
    let mut total = 0.0;
    loop {
        let (id, _) = rig.request(0, 5, 2.0);
        let mut actions = rig.counted(&now, Outcome::Good, total + 2.0);
        if count(&actions).is_some_and(|(name, _)| name == before) {
            actions = rig.counted(&before, Outcome::Good, used);
        }
        if refused(&actions, id).is_some() {
            rig.counted(&now, Outcome::Good, total);
            return total;
        }
        total += 2.0;
    }
}

#[test]
fn what_is_in_store_as_a_window_begins_hangs_on_the_one_before() {
    for (used, left) in [
        (0.0, 22.0),
        (50.0, 22.0),
        (60.0, 12.0),
        (72.0, 0.0),
        (200.0, 0.0),
    ] {
        let mut rig = Rig::new(settings(), 2);
        assert_eq!(
            passed_after(&mut rig, used),
            left,
            "{used} units were used in the window before"
        );
    }
}

#[test]
fn who_spent_its_store_and_keeps_at_its_rate_finds_none_a_window_later() {
    let mut rig = Rig::new(settings(), 2);
    rig.request(0, 5, 1.0);
    rig.counted("q5.250", Outcome::Good, 68.0);
    rig.counted("q5.250", Outcome::Good, 68.0);
    rig.now += 4 * S;
    let (id, _) = rig.request(0, 5, 1.0);
    assert!(
        refused(&rig.counted("q5.251", Outcome::Good, 50.0), id).is_some(),
        "4 of 22 are left"
    );
    rig.counted("q5.251", Outcome::Good, 50.0);
    rig.now += 4 * S;
    assert_eq!(
        passed_after(&mut rig, 50.0),
        4.0,
        "what came in a window went in it"
    );
    rig.now += 8 * S;
    assert_eq!(
        passed_after(&mut rig, 0.0),
        22.0,
        "after a window without use it is full"
    );
}

#[test]
fn no_gateway_grants_the_head_start_on_what_it_cannot_see() {
    // A silent counter leaves a gateway that shares its customers with one other half of the 50 units
    // that a window takes at the rate.
    let mut rig = Rig::new(settings(), 40);
    asked(&mut rig, 100, Outcome::Timeout);
    let mut passed = 0.0;
    for _ in 0..30 {
        let (id, actions) = rig.request(0, 5, 2.0);
        let answered = count(&actions).map(|(name, _)| rig.counted(&name, Outcome::Rejected, 0.0));
        passed += if refused(&answered.unwrap_or(actions), id).is_none() {
            2.0
        } else {
            0.0
        };
    }
    assert!(
        (18.0..=27.0).contains(&passed),
        "{passed} units let through"
    );
}

/// What surely never ran is taken off the count, whoever ended it: its client, while it waited for the counter or for
/// room, or the gateway, when no connection came up. What may have run stays on it.
#[test]
fn what_never_ran_is_taken_off_the_count_when_it_ends() {
    let taken = |actions: &[Action]| count(actions);
    let mut rig = Rig::new(settings(), 2);
    let (id, actions) = rig.request(0, 5, 3.0);
    let (name, _) = count(&actions).expect("an add before the verdict");
    assert_eq!(
        taken(&rig.event(Event::Abandoned { id })),
        Some((name.clone(), -3.0)),
        "before the verdict"
    );
    assert_eq!(
        rig.counted(&name, Outcome::Good, 3.0),
        [],
        "nobody is left to judge"
    );
    assert_eq!(rig.counted(&name, Outcome::Good, 0.0), []);
    let mut rig = Rig::new(settings(), 0);
    let (id, _) = rig.request(0, 5, 3.0);
    assert_eq!(
        attempt(&rig.counted(&name, Outcome::Good, 3.0)),
        None,
        "there is no host"
    );
    assert_eq!(
        taken(&rig.event(Event::Abandoned { id })),
        Some((name.clone(), -3.0)),
        "while it waits for room"
    );
    assert_eq!(rig.event(Event::Abandoned { id }), [], "once");
    let mut rig = Rig::new(settings(), 2);
    let (id, host) = rig.passed(0, 5);
    assert_eq!(
        taken(&rig.event(Event::Abandoned { id })),
        None,
        "it may run"
    );
    assert_eq!(taken(&rig.done(id, 0, host, Outcome::Reset, true)), None);
    let mut rig = Rig::new(
        Settings {
            max_attempts: 1,
            ..settings()
        },
        2,
    );
    let (id, host) = rig.passed(3, 5);
    let actions = rig.done(id, 0, host, Outcome::ConnectFailed, false);
    assert!(refused(&actions, id).is_some());
    assert_eq!(taken(&actions), Some((name, -1.0)), "no connection came up");
}
