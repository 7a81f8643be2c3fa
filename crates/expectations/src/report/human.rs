//! The text report for the terminal.

use super::{attribution_lines, verdict_text};
use crate::check::{CheckReport, ExpectationResult, ExplorationCounts, FailureReport, Verdict};

/// Returns the text report, which ends in a summary line.
///
/// Expectations that hold, with the same verdict under the compared settings, are shown only if `verbose` is set.
#[must_use]
pub fn human(report: &CheckReport, verbose: bool) -> String {
    let mut lines = report.faults.clone();
    let mut file = "";
    for result in &report.results {
        let is_unremarkable = result.verdict == Verdict::Held && result.difference.is_none();
        if is_unremarkable && !verbose {
            continue;
        }
        if result.file != file {
            file = &result.file;
            lines.push(file.to_owned());
        }
        lines.extend(result_lines(result));
    }
    lines.push(summary(report));
    lines.join("\n") + "\n"
}

fn result_lines(result: &ExpectationResult) -> Vec<String> {
    let mut lines = vec![format!(
        "  {:8} {}:{} {}",
        verdict_text(result.verdict),
        result.file,
        result.line,
        result.name
    )];
    if result.verdict != Verdict::Invalid {
        let explored = exploration_text(&result.explored);
        lines.push(format!("    on {}: {explored}", result.deployment));
    }
    lines.extend(result.notes.iter().map(|note| format!("    {note}")));
    if let Some(failure) = &result.failure {
        lines.extend(failure_lines(result, failure));
    }
    if let Some(attribution) = &result.attribution {
        lines.push("    responsible configuration lines:".to_owned());
        lines.extend(attribution_lines(attribution));
    }
    if let Some(difference) = &result.difference {
        lines.push(format!(
            "    under the compared settings: {}; responsible changed lines:",
            verdict_text(difference.compared)
        ));
        lines.extend(attribution_lines(&difference.attribution));
    }
    lines
}

fn failure_lines(result: &ExpectationResult, failure: &FailureReport) -> Vec<String> {
    let file = &result.file;
    let mut lines = vec![
        format!("    {file}:{}: {}", failure.line, failure.description),
        format!(
            "    shortest run found, reduced from {} choices:",
            failure.choices
        ),
    ];
    lines.extend(failure.timeline.iter().map(|line| format!("      {line}")));
    lines.push(format!(
        "    replay: quartzcleat expect {file} --only '{}' --path {}",
        result.name,
        path_text(&failure.path)
    ));
    if failure.attribution.configurations > 0 {
        lines.push("    responsible configuration lines:".to_owned());
        lines.extend(attribution_lines(&failure.attribution));
    }
    lines
}

/// Formats a path as the `--path` option takes it.
fn path_text(path: &[usize]) -> String {
    if path.is_empty() {
        return "0".to_owned();
    }
    let choices: Vec<String> = path.iter().map(ToString::to_string).collect();
    choices.join(",")
}

fn exploration_text(counts: &ExplorationCounts) -> String {
    let extent = if counts.is_exhaustive {
        "exhaustive".to_owned()
    } else {
        format!(
            "exhaustive to {} choices, then {} random walks",
            counts.depth, counts.random_walks
        )
    };
    format!(
        "{} runs, {} states, {extent}; exercised {} times",
        counts.runs, counts.states, counts.exercised
    )
}

fn summary(report: &CheckReport) -> String {
    let results = &report.results;
    let count = |verdict| {
        results
            .iter()
            .filter(|result| result.verdict == verdict)
            .count()
    };
    let runs: u64 = results.iter().map(|result| result.explored.runs).sum();
    let states: u64 = results.iter().map(|result| result.explored.states).sum();
    format!(
        "{} expectations: {} held, {} failed, {} untested, {} vacuous, {} invalid; {runs} runs, {states} states, {:.2} s",
        results.len(),
        count(Verdict::Held),
        count(Verdict::Failed),
        count(Verdict::Untested),
        count(Verdict::Vacuous),
        count(Verdict::Invalid),
        report.seconds
    )
}
