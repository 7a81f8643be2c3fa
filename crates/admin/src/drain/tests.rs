//! Tests of orders and shutdowns that follow each other, in every phase.

use super::*;

const TIMES: DrainTimes = DrainTimes {
    drain_delay: 6,
    reject_after: 20,
};

/// Returns the time of an order while both clocks show the same.
fn at(now: Nanos) -> OrderTime {
    OrderTime {
        unix: now,
        monotonic: now,
    }
}

/// Pairs of drain, undrain and shutdown in either sequence, with the second one in each phase of the first.
#[test]
fn pairs_of_orders_lead_to_the_expected_phase() {
    use Phase::{Closing, Rejecting, Serving};
    type Action = fn(&mut DrainController, Nanos);
    let drain: Action = |controller, now| controller.drain(at(now));
    let undrain: Action = |controller, now| controller.undrain(at(now));
    let shut_down: Action = |controller, now| controller.shut_down(now, Successor::None);
    let hand_over: Action = |controller, now| controller.shut_down(now, Successor::Serving);
    for (first, second, gap, elapsed, phase, accepts_clients, is_shutting_down) in [
        (drain, drain, 10, 21, Rejecting, false, false),
        (drain, undrain, 3, 30, Serving, true, false),
        (drain, undrain, 10, 10, Serving, true, false),
        (drain, undrain, 25, 25, Serving, true, false),
        (undrain, drain, 10, 15, Serving, false, false),
        (undrain, drain, 10, 16, Closing, false, false),
        (drain, shut_down, 10, 20, Rejecting, false, true),
        (drain, shut_down, 2, 5, Serving, false, true),
        (shut_down, drain, 10, 10, Closing, false, true),
        (shut_down, undrain, 10, 20, Rejecting, true, true),
        (shut_down, shut_down, 10, 6, Closing, true, true),
        (drain, hand_over, 1, 1, Closing, false, true),
        (hand_over, undrain, 1, 2, Closing, true, true),
        (hand_over, shut_down, 1, 20, Rejecting, true, true),
    ] {
        let mut controller = DrainController::new(TIMES);
        first(&mut controller, 100);
        second(&mut controller, 100 + gap);
        let state = (
            controller.status(100 + elapsed).phase,
            controller.accepts_clients(),
            controller.is_shutting_down(),
        );
        assert_eq!(
            state,
            (phase, accepts_clients, is_shutting_down),
            "{gap} {elapsed}"
        );
    }
}

#[test]
fn status_announces_the_next_phase() {
    let mut controller = DrainController::new(TIMES);
    controller.drain(at(100));
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
            phase: Phase::Rejecting,
            next_at: None
        }
    );
}

#[test]
fn later_order_of_two_processes_holds() {
    let mut controller = DrainController::new(TIMES);
    controller.drain(at(100));
    let earlier = DrainOrder {
        is_draining: false,
        ordered_at: 90,
    };
    assert_eq!(controller.merge(earlier, at(140)), MergeOutcome::Ignored);
    assert!(!controller.accepts_clients());
    let later = DrainOrder {
        is_draining: false,
        ordered_at: 130,
    };
    assert_eq!(controller.merge(later, at(140)), MergeOutcome::Adopted);
    assert!(controller.accepts_clients());
}

/// Connections stayed open, and requests unanswered, if the wall clock was set back while clients were drained (issue 47).
#[test]
fn phases_follow_the_monotonic_clock_when_the_wall_clock_is_stepped() {
    for unix in [7, 1_000_000] {
        let mut controller = DrainController::new(TIMES);
        controller.drain(OrderTime {
            unix,
            monotonic: 100,
        });
        let phases = [105, 106, 120].map(|now| controller.status(now).phase);
        assert_eq!(phases, [Phase::Serving, Phase::Closing, Phase::Rejecting]);
    }
}

#[test]
fn adopted_order_counts_from_its_own_time() {
    for (ordered_at, expected) in [
        (994, Phase::Closing),
        (996, Phase::Serving),
        (9_999, Phase::Serving),
    ] {
        let mut controller = DrainController::new(TIMES);
        let order = DrainOrder {
            is_draining: true,
            ordered_at,
        };
        let now = OrderTime {
            unix: 1_000,
            monotonic: 100,
        };
        assert_eq!(controller.merge(order, now), MergeOutcome::Adopted);
        assert_eq!(controller.status(100).phase, expected, "{ordered_at}");
    }
}
