//! Counts of two windows at the counter, and verdicts by them.

use crate::common::*;
use quartzcleat::api::*;

#[test]
fn add_precedes_the_verdict() {
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
fn rejected_add_is_refunded_with_retry_after_at_window_end() {
    let mut rig = Rig::new(settings(), 2);
    rig.now += S;
    let (id, _) = rig.request(0, 5, 3.0);
    let actions = rig.counted("q5.250", Outcome::Good, 61.0);
    assert_eq!(rejected(&actions, id), Some(3 * S));
    assert_eq!(count(&actions), Some(("q5.250".into(), -3.0)));
    assert_eq!(attempt(&actions), None);
}

#[test]
fn spent_quota_still_rejects_half_a_window_later() {
    let mut rig = Rig::new(settings(), 2);
    // Other limiters spent the previous window and all credit: half a window's units are left.
    rig.now += 2 * S;
    let (first, _) = rig.request(0, 5, 4.0);
    let actions = rig.counted("q5.250", Outcome::Good, 25.0);
    assert_eq!(
        attempt(&actions).map(|a| a.0),
        Some(first),
        "as much has refilled since, whatever was used before"
    );
    let (second, _) = rig.request(0, 5, 1.0);
    let actions = rig.counted("q5.250", Outcome::Good, 26.0);
    assert_eq!(
        count(&actions),
        Some(("q5.249".into(), 0.0)),
        "now the verdict depends on the previous window"
    );
    let actions = rig.counted("q5.249", Outcome::Good, 72.0);
    assert_eq!(rejected(&actions, second), Some(2 * S));
}

#[test]
fn previous_window_is_read_once() {
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
fn customer_over_quota_causes_no_call_until_its_estimate_falls() {
    let mut rig = Rig::new(settings(), 2);
    rig.request(0, 5, 1.0);
    rig.counted("q5.250", Outcome::Good, 70.0);
    let (id, actions) = rig.request(0, 5, 1.0);
    assert_eq!(count(&actions), None);
    // Windows are of 4 s here, and 1000 s is the start of one.
    assert_eq!(rejected(&actions, id), Some(4 * S));
}

#[test]
fn counter_that_lost_its_counts_grants_no_new_quota() {
    let mut rig = Rig::new(settings(), 2);
    rig.passed(0, 5);
    let (_, _) = rig.request(0, 5, 4.0);
    rig.counted("q5.250", Outcome::Good, 21.0);
    // The count starts again at zero, though this limiter alone had added 5.
    let (id, _) = rig.request(0, 5, 4.0);
    let actions = rig.counted("q5.250", Outcome::Good, 4.0);
    assert!(rejected(&actions, id).is_some());
}

/// Calls that the counter handled out of order return falling totals, although nothing was lost.
#[test]
fn calls_out_of_order_are_not_taken_for_lost_counts() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..4 {
        rig.request(0, 5, 4.0);
    }
    // The first was counted last, behind 3 of this limiter's own; the others follow with less.
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

#[test]
fn rejected_call_is_counted_once() {
    let mut rig = Rig::new(settings(), 2);
    let (id, _) = rig.request(0, 5, 3.0);
    assert_eq!(
        attempt(&rig.counted("q5.250", Outcome::Rejected, 0.0)).map(|a| a.0),
        Some(id)
    );
    let (_, actions) = rig.request(0, 5, 3.0);
    assert_eq!(count(&actions), Some(("q5.250".into(), 6.0)));
}

/// Units of requests of 2 that pass at the start of a window, after one in which others used this much.
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
        if rejected(&actions, id).is_some() {
            rig.counted(&now, Outcome::Good, total);
            return total;
        }
        total += 2.0;
    }
}

#[test]
fn credit_depends_on_the_previous_window() {
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
            "{used} units were used in the previous window"
        );
    }
}

#[test]
fn customer_at_its_rate_after_a_burst_has_no_credit_left() {
    let mut rig = Rig::new(settings(), 2);
    rig.request(0, 5, 1.0);
    rig.counted("q5.250", Outcome::Good, 68.0);
    rig.counted("q5.250", Outcome::Good, 68.0);
    rig.now += 4 * S;
    let (id, _) = rig.request(0, 5, 1.0);
    assert!(
        rejected(&rig.counted("q5.251", Outcome::Good, 50.0), id).is_some(),
        "4 of 22 are left"
    );
    rig.counted("q5.251", Outcome::Good, 50.0);
    rig.now += 4 * S;
    assert_eq!(
        passed_after(&mut rig, 50.0),
        4.0,
        "the refill of the window was spent in it"
    );
    rig.now += 8 * S;
    assert_eq!(
        passed_after(&mut rig, 0.0),
        22.0,
        "after a window without use the credit is full"
    );
}

/// A request that never ran is refunded, no matter who ended it: the client, while it waited for the counter or in the queue, or
/// the limiter, when no connection was established. One that may have run stays on the count.
#[test]
fn request_that_never_ran_is_refunded() {
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
        "no request is left to judge"
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
        "while it is queued"
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
        settings_with(|settings| {
            settings.attempts.max_per_request = 1;
        }),
        2,
    );
    let (id, host) = rig.passed(3, 5);
    let actions = rig.done(id, 0, host, Outcome::ConnectFailed, false);
    assert!(rejected(&actions, id).is_some());
    assert_eq!(taken(&actions), Some((name, -1.0)), "no connection");
}

#[test]
fn use_beyond_the_quota_needs_profit_and_an_idle_host() {
    for (over_quota_weight, hosts, passes) in [(0.2, 2, true), (0.0, 2, false), (0.2, 0, false)] {
        let mut set = settings();
        set.plans[0].over_quota_weight = over_quota_weight;
        let mut rig = Rig::new(set, hosts);
        let (id, _) = rig.request(0, 5, 1.0);
        let actions = rig.counted("q5.250", Outcome::Good, 70.0);
        assert_eq!(
            (
                attempt(&actions).is_some(),
                rejected(&actions, id).is_none()
            ),
            (passes, passes)
        );
        assert_eq!(
            count(&actions),
            Some(("q5.250".into(), -1.0)),
            "charged to no count either way"
        );
    }
}
