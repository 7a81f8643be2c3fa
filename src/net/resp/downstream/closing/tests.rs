//! When a connection is closed.

use super::*;

const IDLE: Progress = Progress {
    input: InputState::Empty,
    collected: CollectOutcome::Pending,
    is_output_empty: true,
    has_pending_response: false,
    has_responded: true,
};

fn served() -> ClosePolicy {
    ClosePolicy::new(Admission::Served, Phase::Serving)
}

#[test]
fn served_connection_stays_open_while_clients_are_not_drained() {
    assert_eq!(served().decide(IDLE, Phase::Serving), CloseDecision::Keep);
}

#[test]
fn served_connection_closes_between_requests_while_clients_are_drained() {
    assert_eq!(
        served().decide(IDLE, Phase::Closing),
        CloseDecision::CloseUnlessReceived(CloseReason::Drained)
    );
    let unused = Progress {
        has_responded: false,
        ..IDLE
    };
    assert_eq!(
        served().decide(unused, Phase::Closing),
        CloseDecision::CloseUnlessReceived(CloseReason::Drained)
    );
}

#[test]
fn connection_within_a_request_is_not_closed() {
    let within_a_request = [
        Progress {
            has_pending_response: true,
            ..IDLE
        },
        Progress {
            is_output_empty: false,
            ..IDLE
        },
        Progress {
            input: InputState::PartialCommand,
            ..IDLE
        },
    ];
    for progress in within_a_request {
        assert_eq!(
            served().decide(progress, Phase::Closing),
            CloseDecision::Keep
        );
    }
}

#[test]
fn connection_accepted_while_clients_are_drained_waits_for_its_first_command() {
    let policy = ClosePolicy::new(Admission::Served, Phase::Closing);
    let unused = Progress {
        has_responded: false,
        ..IDLE
    };
    assert_eq!(policy.decide(unused, Phase::Closing), CloseDecision::Keep);
    assert_eq!(
        policy.decide(IDLE, Phase::Closing),
        CloseDecision::CloseUnlessReceived(CloseReason::Drained)
    );
}

#[test]
fn rejected_connection_closes_after_its_first_responses() {
    let policy = ClosePolicy::new(Admission::Rejected, Phase::Serving);
    let unused = Progress {
        has_responded: false,
        ..IDLE
    };
    assert_eq!(policy.decide(unused, Phase::Serving), CloseDecision::Keep);
    assert_eq!(
        policy.decide(IDLE, Phase::Serving),
        CloseDecision::CloseUnlessReceived(CloseReason::PastLimit)
    );
}

#[test]
fn malformed_input_closes_the_connection_once_its_responses_are_sent() {
    let malformed = Progress {
        input: InputState::Malformed,
        ..IDLE
    };
    assert_eq!(
        served().decide(malformed, Phase::Serving),
        CloseDecision::Close(CloseReason::Malformed)
    );
    let unsent = Progress {
        is_output_empty: false,
        ..malformed
    };
    assert_eq!(served().decide(unsent, Phase::Serving), CloseDecision::Keep);
}

#[test]
fn failed_body_closes_the_connection_once_its_received_part_is_sent() {
    let failed = Progress {
        collected: CollectOutcome::BodyFailed,
        has_pending_response: true,
        ..IDLE
    };
    assert_eq!(
        served().decide(failed, Phase::Serving),
        CloseDecision::Close(CloseReason::BodyFailed)
    );
    let unsent = Progress {
        is_output_empty: false,
        ..failed
    };
    assert_eq!(served().decide(unsent, Phase::Serving), CloseDecision::Keep);
}
