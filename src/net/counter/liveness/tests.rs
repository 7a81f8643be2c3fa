//! Tests of the states of a connection and of their deadlines.

use super::*;

const CALL: Duration = Duration::from_millis(30);
const SILENCE: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(3);

const TIMEOUTS: LivenessTimeouts = LivenessTimeouts {
    call: CALL,
    silence: SILENCE,
    idle: IDLE,
};

/// Returns the state of a connection `elapsed` after `start`, since when it has received nothing.
fn state_after(calls: CallProgress, start: Instant, elapsed: Duration) -> ConnectionState {
    Liveness::new(start).state(calls, TIMEOUTS, start + elapsed)
}

#[test]
fn idle_connection_closes_after_the_idle_timeout() {
    let start = Instant::now();
    let state = state_after(CallProgress::NoneWaiting, start, Duration::ZERO);
    assert_eq!(state.deadline(), start + IDLE);
    assert_eq!(state.action_at_deadline(), DeadlineAction::Close);
}

#[test]
fn connection_without_a_first_answer_fails_after_the_silence_timeout() {
    let start = Instant::now();
    for elapsed in [Duration::ZERO, 2 * CALL, SILENCE] {
        let state = state_after(CallProgress::NeverAnswered, start, elapsed);
        assert_eq!(state.deadline(), start + SILENCE);
        assert_eq!(state.action_at_deadline(), DeadlineAction::Fail);
    }
}

#[test]
fn silent_connection_becomes_suspect_after_two_call_timeouts() {
    let start = Instant::now();
    let state = state_after(
        CallProgress::AnsweredBefore,
        start,
        (2 * CALL).saturating_sub(CALL / 10),
    );
    assert_eq!(state.deadline(), start + 2 * CALL);
    assert_eq!(state.action_at_deadline(), DeadlineAction::Suspect);
}

#[test]
fn suspect_connection_is_compared_with_others_and_fails_after_the_silence_timeout() {
    let start = Instant::now();
    let state = state_after(CallProgress::AnsweredBefore, start, 2 * CALL);
    assert_eq!(
        state,
        ConnectionState::Suspect {
            others_answered_since: start + CALL,
            fail_at: start + SILENCE,
        }
    );
    assert_eq!(state.action_at_deadline(), DeadlineAction::Fail);
}

#[test]
fn connection_fails_without_becoming_suspect_when_two_call_timeouts_exceed_the_silence_timeout() {
    let start = Instant::now();
    let timeouts = LivenessTimeouts {
        call: SILENCE,
        ..TIMEOUTS
    };
    let state = Liveness::new(start).state(CallProgress::AnsweredBefore, timeouts, start);
    assert_eq!(state.deadline(), start + SILENCE);
    assert_eq!(state.action_at_deadline(), DeadlineAction::Fail);
}

#[test]
fn partial_answer_fails_after_a_call_timeout_from_its_first_part() {
    let start = Instant::now();
    let mut liveness = Liveness::new(start);
    liveness.record_partial_answer(start + CALL);
    liveness.record_partial_answer(start + 2 * CALL);
    for calls in [
        CallProgress::NoneWaiting,
        CallProgress::NeverAnswered,
        CallProgress::AnsweredBefore,
    ] {
        let state = liveness.state(calls, TIMEOUTS, start + 2 * CALL);
        assert_eq!(state.deadline(), start + 2 * CALL);
        assert_eq!(state.action_at_deadline(), DeadlineAction::Fail);
    }
    liveness.record_complete_answers();
    let state = liveness.state(CallProgress::NoneWaiting, TIMEOUTS, start + 2 * CALL);
    assert_eq!(state.deadline(), start + IDLE);
}

#[test]
fn progress_restarts_the_deadlines() {
    let start = Instant::now();
    let mut liveness = Liveness::new(start);
    liveness.record_progress(start + SILENCE);
    let state = liveness.state(CallProgress::AnsweredBefore, TIMEOUTS, start + SILENCE);
    assert_eq!(state.deadline(), start + SILENCE + 2 * CALL);
}
