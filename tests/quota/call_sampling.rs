//! Which requests call an overloaded counter, and for how many others each stands.

use crate::common::*;
use crate::degraded_counter::calling_requests;
use quartzcleat::api::*;

/// One of a hundred limiters whose counter rejects two thirds of the calls.
fn overloaded_counter() -> Rig {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.limiters.count = 100;
        }),
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
fn call_of_infrequent_customer_stands_for_skipped_requests() {
    let mut rig = overloaded_counter();
    let (mut calls, mut added) = (0, 0.0);
    for customer in 2_000..4_000 {
        let (_, actions) = rig.request(0, customer, 2.0);
        if let Some((_, amount)) = count(&actions) {
            (calls, added) = (calls + 1, added + amount);
        }
    }
    assert!((100..1_500).contains(&calls), "{calls} of 2,000 called");
    let part = added / 4_000.0;
    assert!(
        (0.85..1.15).contains(&part),
        "the count holds {part} of what was used"
    );
}

#[test]
fn weighted_add_is_judged_by_its_own_units_and_refunded_whole() {
    let mut rig = overloaded_counter();
    let found = (5_000..6_000).find_map(|customer| {
        let (id, actions) = rig.request(0, customer, 2.0);
        count(&actions)
            .filter(|(_, amount)| *amount > 4.0)
            .map(|(name, amount)| (id, name, amount))
    });
    let (id, name, amount) = found.expect("some call, and stand for others");
    // Others used 19 of 22 and it uses 2: within the limit, though the count is now higher. The weight of the previous
    // window is unknown, so it is read.
    let reads = rig.counted(&name, Outcome::Good, 19.0 + amount);
    assert_eq!(rejected(&reads, id), None);
    let over = (6_000..9_000).find_map(|customer| {
        let (id, actions) = rig.request(0, customer, 2.0);
        count(&actions)
            .filter(|(_, amount)| *amount > 4.0)
            .map(|(name, amount)| (id, name, amount))
    });
    let (id, name, amount) = over.expect("some call, and stand for others");
    let actions = rig.counted(&name, Outcome::Good, 21.5 + amount);
    assert!(rejected(&actions, id).is_some());
    assert_eq!(count(&actions), Some((name, -amount)));
}

#[test]
fn infrequent_customer_over_its_share_is_rejected_without_call() {
    let mut rig = overloaded_counter();
    let mut passed = [0; 6];
    for customer in 10_000..10_400 {
        for nth in &mut passed {
            let (id, actions) = rig.request(0, customer, 2.0);
            match count(&actions) {
                Some((name, amount)) => drop(rig.counted(&name, Outcome::Rejected, amount)),
                None => *nth += usize::from(rejected(&actions, id).is_none()),
            }
        }
    }
    assert!(
        passed[0] > 100,
        "a customer not seen before passes: {passed:?}"
    );
    assert_eq!(
        passed[5], 0,
        "the sixth at once is far beyond the share of one of a hundred"
    );
}

#[test]
fn overloaded_counter_is_called_by_largest_needs() {
    let mut rig = Rig::new(settings(), 2);
    calling_requests(&mut rig, 100, Outcome::Timeout);
    let (mut small, mut large) = (0, 0);
    for customer in 0..400 {
        for (units, calls) in [(0.5, &mut small), (4.0, &mut large)] {
            let (_, actions) = rig.request(0, 5000 + 10 * customer + units as u64, units);
            if let Some((name, _)) = count(&actions) {
                *calls += 1;
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
fn calling_request_is_judged_by_the_whole_quota() {
    let mut rig = Rig::new(settings(), 2);
    calling_requests(&mut rig, 100, Outcome::Timeout);
    // At the end of a window the previous one weighs next to nothing; of 50 units 47 are used.
    rig.now += 3_999 * MS;
    let passed = (0..400).find_map(|customer| {
        let (id, actions) = rig.request(0, 5000 + customer, 4.0);
        let (name, _) = count(&actions)?;
        let actions = rig.counted(&name, Outcome::Good, 47.0);
        Some(rejected(&actions, id).is_none())
    });
    assert_eq!(passed, Some(true));
}
