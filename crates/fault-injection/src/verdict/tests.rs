//! Tests of the verdicts on small histories.

use super::*;
use quartzcleat_lease::FencingToken;
use std::ops::Range;

/// The token of the first holder.
const FIRST: FencingToken = FencingToken {
    round: 1,
    proposer: 0,
    incarnation: 1,
};
/// The token of the second holder, a later one.
const SECOND: FencingToken = FencingToken {
    round: 2,
    proposer: 1,
    incarnation: 1,
};

/// Returns an accepted action that lasted from the start to the end of `span_ms`, in milliseconds.
fn accepted(span_ms: Range<u64>, token: FencingToken) -> Action {
    Action {
        from: Duration::from_millis(span_ms.start),
        to: Duration::from_millis(span_ms.end),
        token,
        accepted: true,
    }
}

/// Returns a refused action that lasted from the start to the end of `span_ms`, in milliseconds.
fn refused(span_ms: Range<u64>, token: FencingToken) -> Action {
    Action {
        accepted: false,
        ..accepted(span_ms, token)
    }
}

#[test]
fn refused_action_with_a_stale_token_is_neither_a_violation_nor_a_change() {
    let history = [
        accepted(0..5, FIRST),
        accepted(20..25, SECOND),
        refused(26..27, FIRST),
    ];
    let verdict = judge(&history, &[]);
    assert!(verdict.holds());
    assert_eq!(verdict.refused, 1);
    assert_eq!(verdict.changes, 1);
    assert_eq!(verdict.gaps.len(), 1);
}

#[test]
fn next_holder_after_a_gap_is_one_change_with_one_gap() {
    let history = [accepted(0..5, FIRST), accepted(20..25, SECOND)];
    let verdict = judge(&history, &[]);
    assert_eq!(verdict.changes, 1);
    assert_eq!(verdict.gaps, [Duration::from_millis(15)]);
}

#[test]
fn accepted_action_with_a_stale_token_is_a_violation_and_no_overlap() {
    let history = [
        accepted(0..5, FIRST),
        accepted(20..25, SECOND),
        accepted(26..27, FIRST),
    ];
    let verdict = judge(&history, &[]);
    assert_eq!(verdict.stale_tokens, 1);
    assert_eq!(verdict.overlaps, 0);
}

#[test]
fn overlapping_actions_of_two_tokens_are_a_violation_though_neither_is_stale() {
    let history = [accepted(0..5, FIRST), accepted(4..9, SECOND)];
    let verdict = judge(&history, &[]);
    assert_eq!(verdict.stale_tokens, 0);
    assert_eq!(verdict.overlaps, 1);
}

/// Returns the verdict on a change of holder 50 ms after the start, with the first holder paused during `span_ms`, in
/// milliseconds.
fn verdict_with_first_holder_paused(span_ms: Range<u64>) -> Verdict {
    let mark = |at_ms, event| Mark {
        at: Duration::from_millis(at_ms),
        limiter: LimiterIndex(FIRST.proposer),
        event,
    };
    let marks = [
        mark(span_ms.start, MarkEvent::Began(FaultKind::Pause)),
        mark(span_ms.end, MarkEvent::Over(FaultKind::Pause)),
    ];
    judge(&[accepted(0..5, FIRST), accepted(50..55, SECOND)], &marks)
}

#[test]
fn change_while_the_holder_is_paused_counts_as_while_paused() {
    assert_eq!(verdict_with_first_holder_paused(10..90).while_paused, 1);
}

#[test]
fn change_after_the_pause_does_not_count_as_while_paused() {
    assert_eq!(verdict_with_first_holder_paused(10..40).while_paused, 0);
}
