//! `quartzcleat expect`: verdicts, exit codes and the machine-readable reports of both deployments.

use crate::{assert_golden, LIMITER};
use std::process::Command;

/// The report with a fixed text in place of the duration of each check, which differs between runs.
fn without_durations(report: &str) -> String {
    let mut normalized = String::new();
    for line in report.lines() {
        let json = line.trim_start().starts_with("\"seconds\":");
        let text = match (json, line.split_once(" time=\"")) {
            (true, _) => line
                .split_once(':')
                .map(|(key, _)| format!("{key}: DURATION"))
                .unwrap_or_default(),
            (false, Some((head, tail))) => {
                let rest = tail.split_once('"').map_or("", |(_, rest)| rest);
                format!("{head} time=\"DURATION\"{rest}")
            }
            (false, None) => line.to_owned(),
        };
        normalized += &(text + "\n");
    }
    normalized
}

#[test]
fn verdicts_and_reports_of_both_deployments_stay() {
    for deployment in ["imlil-main", "reykjavik-auth"] {
        for format in ["json", "junit"] {
            let output = Command::new(LIMITER)
                .current_dir(env!("CARGO_MANIFEST_DIR"))
                .env_remove("QUARTZCLEAT_CONFIG")
                .args([
                    "expect",
                    "--deployment",
                    deployment,
                    "--format",
                    format,
                    "--jobs",
                    "2",
                ])
                .args(["--plays", "20", "--events", "6000"])
                .output()
                .expect("the limiter runs");
            let report = without_durations(&String::from_utf8_lossy(&output.stdout));
            let text = format!("exit code {:?}\n{report}", output.status.code());
            assert_golden(&format!("wire-expect-{deployment}.{format}"), &text);
        }
    }
}
