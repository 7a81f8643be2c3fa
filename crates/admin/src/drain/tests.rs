//! Orders and shutdowns that follow each other, at every phase.

use super::*;

const TIMES: DrainTimes = DrainTimes {
    linger: 6,
    last_call: 20,
};

/// Every pair of drain, undrain and shutdown, in its order, the second one at any phase of the first.
#[test]
fn each_pair_of_orders_leads_to_one_phase() {
    use Phase::{Closing, LastCall, Serving};
    type Order = fn(&mut DrainController, Nanos);
    let drain: Order = DrainController::drain;
    let undrain: Order = DrainController::undrain;
    let shut_down: Order = |controller, at| controller.shut_down(at, Successor::None);
    let hand_over: Order = |controller, at| controller.shut_down(at, Successor::Serving);
    for (first, second, gap, at, phase, accepts_clients, is_shutting_down) in [
        (drain, drain, 10, 21, LastCall, false, false),
        (drain, undrain, 3, 30, Serving, true, false),
        (drain, undrain, 10, 10, Serving, true, false),
        (drain, undrain, 25, 25, Serving, true, false),
        (undrain, drain, 10, 15, Serving, false, false),
        (undrain, drain, 10, 16, Closing, false, false),
        (drain, shut_down, 10, 20, LastCall, false, true),
        (drain, shut_down, 2, 5, Serving, false, true),
        (shut_down, drain, 10, 10, Closing, false, true),
        (shut_down, undrain, 10, 20, LastCall, true, true),
        (shut_down, shut_down, 10, 6, Closing, true, true),
        (drain, hand_over, 1, 1, Closing, false, true),
        (hand_over, undrain, 1, 2, Closing, true, true),
        (hand_over, shut_down, 1, 20, LastCall, true, true),
    ] {
        let mut controller = DrainController::new(TIMES);
        first(&mut controller, 100);
        second(&mut controller, 100 + gap);
        let state = (
            controller.status(100 + at).phase,
            controller.accepts_clients(),
            controller.is_shutting_down(),
        );
        assert_eq!(
            state,
            (phase, accepts_clients, is_shutting_down),
            "{gap} {at}"
        );
    }
}

#[test]
fn status_announces_the_next_phase() {
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
}

#[test]
fn later_order_of_two_processes_holds() {
    let mut controller = DrainController::new(TIMES);
    controller.drain(100);
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
