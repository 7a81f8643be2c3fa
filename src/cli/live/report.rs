//! The report of the comparisons, in each output format.

use super::{Comparison, Counts, EXIT_DIFFERS, EXIT_NOT_COMPARED};
use crate::cli::Format;
use quartzcleat_expectations::report::{junit_case, junit_suite};
use std::process::ExitCode;

/// The results of a live check.
pub(super) struct LiveReport {
    pub(super) comparisons: Vec<Comparison>,
    /// Faults of the files, one line each.
    pub(super) faults: Vec<String>,
    /// Elapsed time of the whole check.
    pub(super) seconds: f64,
}

impl LiveReport {
    pub(super) fn render(&self, format: Format, verbose: bool) -> String {
        match format {
            Format::Human => self.human(verbose),
            Format::Json => self.json(),
            Format::Junit => self.junit(),
        }
    }

    pub(super) fn exit_code(&self) -> ExitCode {
        if self
            .comparisons
            .iter()
            .any(|comparison| !comparison.agrees())
        {
            ExitCode::from(EXIT_DIFFERS)
        } else if self.comparisons.is_empty() || !self.faults.is_empty() {
            ExitCode::from(EXIT_NOT_COMPARED)
        } else {
            ExitCode::SUCCESS
        }
    }

    fn json(&self) -> String {
        let json = serde_json::json!({
            "compared": self.comparisons,
            "faults": self.faults,
            "seconds": self.seconds,
        });
        format!("{json}\n")
    }

    fn human(&self, verbose: bool) -> String {
        let mut lines = self.faults.clone();
        for comparison in &self.comparisons {
            if verbose || !comparison.agrees() {
                lines.extend(comparison_lines(comparison));
            }
        }
        let count = |is_counted: fn(&&Comparison) -> bool| {
            self.comparisons.iter().filter(is_counted).count()
        };
        lines.push(format!(
            "{} live runs: {} agree with the simulation's verdict, {} of them in every count too; {:.1} s",
            self.comparisons.len(),
            count(|comparison| comparison.agrees()),
            count(|comparison| comparison.simulated == comparison.live),
            self.seconds
        ));
        lines.join("\n") + "\n"
    }

    fn junit(&self) -> String {
        let faults = self.faults.iter();
        let mut cases: Vec<String> = faults
            .map(|fault| junit_case("files", "live", fault))
            .collect();
        cases.extend(self.comparisons.iter().map(comparison_case));
        junit_suite("live", &cases)
    }
}

fn comparison_lines(comparison: &Comparison) -> Vec<String> {
    let agreement = if comparison.agrees() {
        "agrees"
    } else {
        "DIFFERS"
    };
    let mut lines = vec![
        format!(
            "  {agreement:8} {}:{} variant {}: {}",
            comparison.file, comparison.line, comparison.variant, comparison.name
        ),
        format!(
            "    simulated {}: {}",
            verdict(comparison.simulated_failure.as_ref()),
            counts_text(&comparison.simulated)
        ),
        format!(
            "    live      {}: {}",
            verdict(comparison.live_failure.as_ref()),
            counts_text(&comparison.live)
        ),
    ];
    let problems = [
        &comparison.simulated_failure,
        &comparison.live_failure,
        &comparison.fault,
    ];
    for problem in problems.into_iter().flatten() {
        lines.push(format!("    {problem}"));
    }
    for line in &comparison.timeline {
        lines.push(format!("      {line}"));
    }
    lines
}

fn comparison_case(comparison: &Comparison) -> String {
    let failure = if comparison.agrees() {
        String::new()
    } else {
        format!(
            "simulated {:?}, live {:?}, {:?}",
            comparison.simulated_failure, comparison.live_failure, comparison.fault
        )
    };
    let name = format!("{} ({})", comparison.name, comparison.variant);
    junit_case(&name, &comparison.file, &failure)
}

fn verdict(failure: Option<&String>) -> &'static str {
    match failure {
        None => "held",
        Some(_) => "failed",
    }
}

fn counts_text(counts: &Counts) -> String {
    format!(
        "{} received, {} attempts, {} served, {} rejected, {} failed",
        counts.received, counts.attempts, counts.served, counts.rejected, counts.failed
    )
}
