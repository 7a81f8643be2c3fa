//! Rows of an earlier version's `trial` are read and resumed from. `data/rows.jsonl` has the format of that version
//! (d36acc0); it was written by hand after its source, since a run's times differ every time.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const ROWS: &str = include_str!("data/rows.jsonl");

/// A folder with a copy of rows, removed at the end of a test.
struct Series {
    folder: PathBuf,
}

impl Drop for Series {
    fn drop(&mut self) {
        // A folder that stays behind does not concern the result.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Series {
    fn with_rows(name: &str, rows: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("quartzcleat-bench-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder is made");
        let series = Series { folder };
        std::fs::write(series.rows_path(), rows).expect("the rows are written");
        series
    }

    fn rows_path(&self) -> PathBuf {
        self.folder.join("rows.jsonl")
    }

    fn rows(&self) -> String {
        std::fs::read_to_string(self.rows_path()).expect("the rows are there")
    }

    /// Runs `trial` with a limiter that does not exist, so that a seed without a row fails.
    fn resume(&self, seeds: &str) -> Output {
        let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
        Command::new(env!("CARGO_BIN_EXE_quartzcleat-bench"))
            .arg("trial")
            .arg(manifest.join("tests/data/scenario.yaml"))
            .args(["--seeds", seeds, "--format", "json"])
            .arg("--rows")
            .arg(self.rows_path())
            .arg("--program")
            .arg(self.folder.join("no-limiter"))
            .arg("--platform")
            .arg(manifest.join("../../examples/toy.json"))
            .arg("--folder")
            .arg(self.folder.join("runs"))
            .output()
            .expect("the bench runs")
    }
}

/// The stored row of a seed.
fn stored_row(seed: usize) -> Value {
    let line = ROWS.lines().nth(seed).expect("a row");
    serde_json::from_str(line).expect("JSON")
}

#[test]
fn earlier_rows_are_read_and_written_again_unchanged() {
    let series = Series::with_rows("read", ROWS);
    let output = series.resume("1..2");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["holds"], true);
    assert_eq!(report["accepted"], 85);
    assert_eq!(
        report["rows"],
        Value::Array(vec![stored_row(1), stored_row(2)])
    );
    assert_eq!(series.rows(), ROWS);
}

#[test]
fn earlier_row_of_a_failing_seed_is_reported_with_its_finding() {
    let series = Series::with_rows("failing", ROWS);
    let output = series.resume("1..3");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    let (_, report) = stderr
        .split_once("quartzcleat-bench: ")
        .expect("a report behind the progress");
    let report: Value = serde_json::from_str(report).expect("JSON");
    assert_eq!(report["holds"], false);
    assert_eq!(report["old_tokens"], 1);
    assert_eq!(report["rows"][2], stored_row(3));
}

#[test]
fn interrupted_series_runs_only_the_seed_of_its_incomplete_row() {
    let interrupted = ROWS.to_owned() + "{\"seed\":4,\"accepted\":1";
    let series = Series::with_rows("interrupted", &interrupted);
    let output = series.resume("1..4");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.contains("quartzcleat-bench: seed 4: No such file"),
        "{stderr}"
    );
    assert_eq!(series.rows(), ROWS);
}

#[test]
fn earlier_rows_of_another_scenario_are_refused() {
    let other = ROWS.replace("end: 2s", "end: 3s");
    let series = Series::with_rows("other", &other);
    let output = series.resume("1..2");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("another story"), "{stderr}");
    assert_eq!(series.rows(), other);
}
