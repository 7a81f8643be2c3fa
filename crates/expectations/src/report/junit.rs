//! `JUnit` XML: one suite for the check, one case for each expectation and deployment.

use super::{attribution_lines, verdict_text};
use crate::check::{CheckReport, ExpectationResult, Verdict};

/// Returns the report as `JUnit` XML. Each fault of the files is a failing case of its own.
#[must_use]
pub fn junit(report: &CheckReport) -> String {
    let faults = report.faults.iter();
    let mut cases: Vec<String> = faults
        .map(|fault| junit_case("files", "expectations", fault))
        .collect();
    cases.extend(report.results.iter().map(result_case));
    junit_suite("expectations", &cases)
}

fn result_case(result: &ExpectationResult) -> String {
    let message = match result.verdict {
        Verdict::Held => String::new(),
        verdict => failure_message(result, verdict),
    };
    junit_case(&result.name, &result.file, &message)
}

fn failure_message(result: &ExpectationResult, verdict: Verdict) -> String {
    let verdict = verdict_text(verdict);
    let Some(failure) = &result.failure else {
        return format!("{verdict}: {}\n", result.notes.join("; "));
    };
    let mut lines = vec![format!("{verdict}: {}", failure.description)];
    lines.push(failure.timeline.join("\n"));
    lines.extend(attribution_lines(&failure.attribution));
    lines.join("\n") + "\n"
}

/// Returns one case of a `JUnit` report. The case fails if `failure` is not empty.
#[must_use]
pub fn junit_case(name: &str, class: &str, failure: &str) -> String {
    let name = escape(name);
    let class = escape(class);
    if failure.is_empty() {
        return format!("  <testcase name=\"{name}\" classname=\"{class}\"/>\n");
    }
    let message = escape(failure);
    format!(
        "  <testcase name=\"{name}\" classname=\"{class}\"><failure message=\"{message}\"/></testcase>\n"
    )
}

/// Returns a `JUnit` report with one suite of the given cases.
#[must_use]
pub fn junit_suite(name: &str, cases: &[String]) -> String {
    let failures = cases
        .iter()
        .filter(|case| case.contains("<failure") || case.contains("<error"))
        .count();
    format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"{}\" tests=\"{}\" failures=\"{failures}\">\n{}</testsuite>\n",
        escape(name),
        cases.len(),
        cases.concat()
    )
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            control if control.is_control() && control != '\n' => escaped.push(' '),
            other => escaped.push(other),
        }
    }
    escaped
}
