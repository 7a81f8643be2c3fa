//! Verdicts while the counter is slow, failing or absent.

use crate::common::*;
use quartzcleat::api::*;

#[test]
fn requests_pass_without_counter_reply() {
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
fn customer_known_to_be_over_quota_does_not_pass_without_counter_reply() {
    let mut rig = Rig::new(settings(), 2);
    rig.request(0, 5, 1.0);
    rig.counted("q5.250", Outcome::Good, 70.0);
    rig.counted("q5.250", Outcome::Timeout, 0.0);
    rig.now += S / 2;
    let (id, actions) = rig.request(0, 5, 1.0);
    assert!(rejected(&actions, id).is_some());
}

/// How many of `requests`, each of another customer, call the counter when all calls end with `outcome`.
pub fn calling_requests(rig: &mut Rig, requests: u64, outcome: Outcome) -> usize {
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
fn few_requests_call_a_failing_counter_and_all_once_it_recovers() {
    let mut rig = Rig::new(settings(), 2);
    calling_requests(&mut rig, 100, Outcome::Timeout);
    let failing = calling_requests(&mut rig, 200, Outcome::Timeout);
    assert!(
        (1..=40).contains(&failing),
        "{failing} of 200 requests called a counter that never replies"
    );
    calling_requests(&mut rig, 300, Outcome::Good);
    assert_eq!(calling_requests(&mut rig, 50, Outcome::Good), 50);
}

#[test]
fn limiters_without_counter_keep_to_their_shares() {
    // 100 limiters and a limit of 60 units: each may pass its first request, then 0.15 units a second.
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.counter.is_available = false;
            settings.limiters.count = 100;
        }),
        40,
    );
    rig.spread = 100;
    let mut passed = 0;
    for _ in 0..100 {
        rig.now += S / 10;
        let (id, actions) = rig.request(0, 5, 4.0);
        let retry_after = rejected(&actions, id);
        passed += usize::from(retry_after.is_none());
        // Over the share of this limiter only: a retry may be in time.
        assert!(retry_after.is_none_or(|after| after == S / 4));
    }
    assert!(
        (1..=2).contains(&passed),
        "{passed} requests of 4 units in 10 s"
    );
}

#[test]
fn limiter_without_counter_service_counts_its_own_adds() {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.counter.is_available = false;
        }),
        40,
    );
    let mut passed = 0;
    for _ in 0..30 {
        let (id, actions) = rig.request(0, 5, 4.0);
        assert_eq!(count(&actions), None);
        passed += usize::from(rejected(&actions, id).is_none());
    }
    assert!(
        (6..=12).contains(&passed),
        "{passed} requests of 4 units: half of 50 units at least, all at most"
    );
}

#[test]
fn limiter_grants_no_credit_on_unknown_totals() {
    // Without counter replies, a limiter that shares its customers with one other has half of the 50 units that refill
    // in a window.
    let mut rig = Rig::new(settings(), 40);
    calling_requests(&mut rig, 100, Outcome::Timeout);
    let mut passed = 0.0;
    for _ in 0..30 {
        let (id, actions) = rig.request(0, 5, 2.0);
        let answered = count(&actions).map(|(name, _)| rig.counted(&name, Outcome::Rejected, 0.0));
        passed += if rejected(&answered.unwrap_or(actions), id).is_none() {
            2.0
        } else {
            0.0
        };
    }
    assert!((18.0..=27.0).contains(&passed), "{passed} units passed");
}
