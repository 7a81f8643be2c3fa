//! Verdicts on small histories.

use super::*;
use quartzcleat_lease::FencingToken;

fn action(from_ms: u64, to_ms: u64, round: u64, proposer: u32, accepted: bool) -> Action {
    Action {
        from: Duration::from_millis(from_ms),
        to: Duration::from_millis(to_ms),
        token: FencingToken {
            round,
            proposer,
            incarnation: 1,
        },
        accepted,
    }
}

#[test]
fn stale_token_and_overlap_are_violations_and_a_refused_action_is_not() {
    let valid = [
        action(0, 5, 1, 0, true),
        action(20, 25, 2, 1, true),
        action(26, 27, 1, 0, false),
    ];
    let verdict = judge(&valid, &[]);
    assert!(verdict.holds());
    assert_eq!(
        (verdict.changes, verdict.refused, verdict.gaps.len()),
        (1, 1, 1)
    );
    let stale = [
        action(0, 5, 1, 0, true),
        action(20, 25, 2, 1, true),
        action(26, 27, 1, 0, true),
    ];
    assert_eq!(
        (judge(&stale, &[]).stale_tokens, judge(&stale, &[]).overlaps),
        (1, 0)
    );
    let overlapping = [action(0, 5, 1, 0, true), action(4, 9, 2, 1, true)];
    assert_eq!(
        (
            judge(&overlapping, &[]).stale_tokens,
            judge(&overlapping, &[]).overlaps
        ),
        (0, 1)
    );
}

#[test]
fn change_counts_as_during_a_pause_only_while_the_pause_lasts() {
    let mark = |at_ms, event| Mark {
        at: Duration::from_millis(at_ms),
        limiter: 0,
        event,
    };
    let began = MarkEvent::Began(FaultKind::Pause);
    let over = MarkEvent::Over(FaultKind::Pause);
    let actions = [action(0, 5, 1, 0, true), action(50, 55, 2, 1, true)];
    assert_eq!(
        judge(&actions, &[mark(10, began), mark(90, over)]).while_paused,
        1
    );
    assert_eq!(
        judge(&actions, &[mark(10, began), mark(40, over)]).while_paused,
        0
    );
}
