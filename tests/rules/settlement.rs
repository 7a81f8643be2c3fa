//! Settlement of estimated units.

use crate::common::*;

#[test]
fn settlement_joins_the_next_add_up_to_the_largest_request() {
    for (true_units, next) in [
        (3.5, 3.5),
        (0.5, 0.5),
        (400.0, 4.0),
        (-3.0, 1.0),
        (f64::NAN, 1.0),
    ] {
        let set = settings_with(|settings| {
            settings.units.are_estimates = true;
        });
        let mut rig = Rig::new(set, 2);
        let (id, host) = rig.passed(0, 5);
        let actions = rig.ended(
            id,
            host,
            Ended {
                true_units,
                ..Ended::default()
            },
        );
        assert_eq!(count(&actions), None, "no call of its own");
        let (_, actions) = rig.request(0, 5, 1.0);
        assert_eq!(
            count(&actions),
            Some(("q5.250".into(), next)),
            "an estimate of 1, then {true_units}, and 1 more"
        );
    }
}

#[test]
fn settlement_of_infrequent_customer_is_sent_at_once() {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.units.are_estimates = true;
            settings.limiters.count = 100;
        }),
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
