//! Reports of a series with a failing seed.

use super::*;

#[test]
fn failing_seed_is_reported_with_its_history_and_its_command_in_each_format() {
    let text = "limiters: 3\nvoters: 3\nend: 2s\n";
    let scenario = Scenario::read("s.yaml", text).expect("the scenario is valid");
    let valid = Row {
        seed: 1,
        changes: 2,
        gaps_us: vec![1_000, 3_000],
        ..Row::default()
    };
    let failing = Row {
        seed: 2,
        stale_tokens: 1,
        finding: "an old token was let in\n".into(),
        ..Row::default()
    };
    let rows = [valid, failing];
    let report = SeriesReport {
        file: "s.yaml",
        scenario: &scenario,
        rows: &rows,
        elapsed: Duration::from_secs(1),
    };
    let text = report.text().expect("a text");
    for part in [
        "old tokens let in 1",
        "p50 1, p90 3",
        "an old token was let in",
        "trial s.yaml --seeds 2..2",
    ] {
        assert!(text.contains(part), "{part}\nnot in\n{text}");
    }
    let json = report.json().expect("a text");
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(
        (
            &json["holds"],
            &json["old_tokens"],
            &json["rows"][1]["seed"]
        ),
        (&json!(false), &json!(1), &json!(2))
    );
    let junit = report.junit();
    assert!(
        junit.contains("tests=\"2\" failures=\"1\"") && junit.contains("--seeds 2..2"),
        "{junit}"
    );
}
