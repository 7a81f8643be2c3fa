//! Tests of the rows of small histories, and of their stored format.

use super::*;
use crate::scenario::FaultKind;
use crate::verdict::{Mark, MarkEvent};
use quartzcleat_decision::api::LimiterIndex;
use quartzcleat_lease::FencingToken;

/// Returns an accepted action that lasts 5 ms.
fn action(from_ms: u64, round: u64, proposer: u32) -> Action {
    Action {
        from: Duration::from_millis(from_ms),
        to: Duration::from_millis(from_ms + 5),
        token: FencingToken {
            round,
            proposer,
            incarnation: 1,
        },
        accepted: true,
    }
}

fn row_of(actions: &[Action], marks: Vec<Mark>) -> Row {
    let text = "limiters: 3\nvoters: 3\nend: 2s\n";
    let scenario = Scenario::read("s.yaml", text).expect("the scenario is valid");
    let report = RunReport {
        actions: actions.to_vec(),
        marks,
        ..RunReport::default()
    };
    Row::of(&scenario, 4, &report)
}

/// Returns three actions, the last of which has a stale token.
fn actions_with_stale_token() -> [Action; 3] {
    [action(0, 1, 0), action(20, 2, 1), action(40, 1, 0)]
}

/// Returns the row of a run with a stale token, and a fault before its second action.
fn row_of_violation() -> Row {
    let pause = Mark {
        at: Duration::from_millis(8),
        limiter: LimiterIndex(0),
        event: MarkEvent::Began(FaultKind::Pause),
    };
    row_of(&actions_with_stale_token(), vec![pause])
}

#[test]
fn row_names_the_violation_and_the_faults_before_it() {
    let row = row_of_violation();
    assert!(
        !row.holds() && row.finding.starts_with("an old token was let in"),
        "{}",
        row.finding
    );
    assert!(
        row.finding.contains("8ms pause of limiter Some(0)"),
        "{}",
        row.finding
    );
}

#[test]
fn row_is_unchanged_by_a_json_round_trip() {
    let row = row_of_violation();
    let line = serde_json::to_string(&row).expect("the row is serialised");
    assert_eq!(serde_json::from_str::<Row>(&line).ok(), Some(row));
}

#[test]
fn row_of_a_run_without_violation_has_no_finding() {
    let row = row_of(&actions_with_stale_token()[..2], Vec::new());
    assert!(row.holds() && row.finding.is_empty());
}

#[test]
fn run_without_a_change_of_holder_is_empty() {
    assert!(row_of(&actions_with_stale_token()[..1], Vec::new()).empty);
}

/// Stored rows use type and field names that have since been renamed (`Seen`, `Ballot`, `bidder`, `boot`). New rows
/// must match them.
#[test]
fn finding_keeps_its_stored_text() {
    assert_eq!(
        row_of(&actions_with_stale_token(), Vec::new()).finding,
        "an old token was let in: Seen { from: 20ms, to: 25ms, token: Ballot { round: 2, bidder: 1, boot: 1 }, accepted: true }\n  \
         then Seen { from: 40ms, to: 45ms, token: Ballot { round: 1, bidder: 0, boot: 1 }, accepted: true }\n"
    );
}
