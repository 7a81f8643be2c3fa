//! Rows of small histories, and their stored form.

use super::*;
use crate::scenario::FaultKind;
use crate::verdict::{Mark, MarkEvent};
use quartzcleat_decision::api::LimiterIndex;
use quartzcleat_lease::FencingToken;

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
        seen: actions.to_vec(),
        marks,
        ..RunReport::default()
    };
    Row::of(&scenario, 4, &report)
}

#[test]
fn row_names_the_violation_and_is_read_as_it_was_written() {
    let marks = vec![Mark {
        at: Duration::from_millis(8),
        limiter: LimiterIndex(0),
        event: MarkEvent::Began(FaultKind::Pause),
    }];
    let actions = [action(0, 1, 0), action(20, 2, 1), action(40, 1, 0)];
    let row = row_of(&actions, marks);
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
    let line = serde_json::to_string(&row).expect("it is written");
    assert_eq!(serde_json::from_str::<Row>(&line).ok(), Some(row));
    let valid = row_of(&actions[..2], Vec::new());
    assert!(valid.holds() && valid.finding.is_empty());
    assert!(row_of(&actions[..1], Vec::new()).empty);
}

/// The text as it was stored before the types got their present names.
#[test]
fn finding_keeps_its_stored_text() {
    let actions = [action(0, 1, 0), action(20, 2, 1), action(40, 1, 0)];
    assert_eq!(
        row_of(&actions, Vec::new()).finding,
        "an old token was let in: Seen { from: 20ms, to: 25ms, token: Ballot { round: 2, bidder: 1, boot: 1 }, accepted: true }\n  \
         then Seen { from: 40ms, to: 45ms, token: Ballot { round: 1, bidder: 0, boot: 1 }, accepted: true }\n"
    );
}
