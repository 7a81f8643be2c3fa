//! Reports of a series with a failing seed.

use super::*;

/// A series with a valid seed and one that fails.
struct Series {
    scenario: Scenario,
    rows: [Row; 2],
}

impl Series {
    fn new() -> Self {
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
        Series {
            scenario,
            rows: [valid, failing],
        }
    }

    fn report(&self) -> SeriesReport<'_> {
        SeriesReport {
            file: "s.yaml",
            scenario: &self.scenario,
            rows: &self.rows,
            elapsed: Duration::from_secs(1),
        }
    }
}

#[test]
fn text_names_totals_the_finding_and_the_command_of_the_failing_seed() {
    let text = Series::new().report().text().expect("a text");
    for part in [
        "stale tokens accepted 1",
        "p50 1, p90 3",
        "an old token was let in",
        "trial s.yaml --seeds 2..2",
    ] {
        assert!(text.contains(part), "{part}\nnot in\n{text}");
    }
}

#[test]
fn json_has_totals_and_rows() {
    let json = Series::new().report().json().expect("a text");
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(json["holds"], false);
    assert_eq!(json["old_tokens"], 1);
    assert_eq!(json["rows"][1]["seed"], 2);
}

#[test]
fn junit_counts_failures_and_has_the_command_of_the_failing_seed() {
    let junit = Series::new().report().junit();
    assert!(
        junit.contains("tests=\"2\" failures=\"1\"") && junit.contains("--seeds 2..2"),
        "{junit}"
    );
}
