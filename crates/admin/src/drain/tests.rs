//! Orders and shutdowns that cross, at every phase.

use super::*;

const TIMES: DrainTimes = DrainTimes {
    linger: 6,
    last_call: 20,
};

/// Every pair of orders, in its order: drain, undrain and end, at whatever phase the second finds.
#[test]
fn every_pair_of_orders_has_one_meaning() {
    type Order = fn(&mut DrainController, Nanos);
    let (drain, undrain): (Order, Order) = (DrainController::drain, DrainController::undrain);
    let (end, relieved): (Order, Order) = (
        |controller, at| controller.shut_down(at, Successor::None),
        |controller, at| controller.shut_down(at, Successor::Serving),
    );
    use Phase::{Closing, LastCall, Serving};
    for (first, second, gap, at, phase, accepts_clients, ending) in [
        (drain, drain, 10, 21, LastCall, false, false),
        (drain, undrain, 3, 30, Serving, true, false),
        (drain, undrain, 10, 10, Serving, true, false),
        (drain, undrain, 25, 25, Serving, true, false),
        (undrain, drain, 10, 15, Serving, false, false),
        (undrain, drain, 10, 16, Closing, false, false),
        (drain, end, 10, 20, LastCall, false, true),
        (drain, end, 2, 5, Serving, false, true),
        (end, drain, 10, 10, Closing, false, true),
        (end, undrain, 10, 20, LastCall, true, true),
        (end, end, 10, 6, Closing, true, true),
        (drain, relieved, 1, 1, Closing, false, true),
        (relieved, undrain, 1, 2, Closing, true, true),
        (relieved, end, 1, 20, LastCall, true, true),
    ] {
        let mut controller = DrainController::new(TIMES);
        first(&mut controller, 100);
        second(&mut controller, 100 + gap);
        let state = (
            controller.status(100 + at).phase,
            controller.accepts_clients(),
            controller.is_shutting_down(),
        );
        assert_eq!(state, (phase, accepts_clients, ending), "{gap} {at}");
    }
}

#[test]
fn the_next_phase_is_known_and_the_later_order_holds() {
    let mut controller = DrainController::new(TIMES);
    controller.drain(100);
    assert_eq!(
        controller.status(100),
        PhaseStatus {
            phase: Phase::Serving,
            next_at: Some(106)
        }
    );
    assert_eq!(
        controller.status(106),
        PhaseStatus {
            phase: Phase::Closing,
            next_at: Some(120)
        }
    );
    assert_eq!(
        controller.status(120),
        PhaseStatus {
            phase: Phase::LastCall,
            next_at: None
        }
    );
    let earlier = DrainOrder {
        is_draining: false,
        ordered_at: 90,
    };
    assert_eq!(controller.merge(earlier), MergeOutcome::Ignored);
    assert!(!controller.accepts_clients());
    let later = DrainOrder {
        is_draining: false,
        ordered_at: 130,
    };
    assert_eq!(controller.merge(later), MergeOutcome::Adopted);
    assert!(controller.accepts_clients());
}
