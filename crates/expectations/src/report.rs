//! Reports of a check: as text for the terminal, as JSON, and as `JUnit` XML for build servers.

mod human;
mod junit;

pub use human::human;
pub use junit::{junit, junit_case, junit_suite};

use crate::attribution::SourceAttribution;
use crate::check::{CheckReport, Verdict};

/// Returns the report as indented JSON with a final newline.
#[must_use]
pub fn json(report: &CheckReport) -> String {
    let json = serde_json::to_string_pretty(report);
    json.unwrap_or_else(|error| format!("{{\"fault\": \"{error}\"}}")) + "\n"
}

fn verdict_text(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Held => "held",
        Verdict::Failed => "FAILED",
        Verdict::Untested => "UNTESTED",
        Verdict::Vacuous => "VACUOUS",
        Verdict::Invalid => "INVALID",
    }
}

/// Returns one line for each line of configuration in an attribution.
fn attribution_lines(attribution: &SourceAttribution) -> Vec<String> {
    let mut lines = Vec::new();
    for line_set in &attribution.line_sets {
        for (index, source) in line_set.iter().enumerate() {
            let conjunction = if index > 0 { "together with " } else { "" };
            lines.push(format!(
                "      {conjunction}{}:{}: {}: {} (the verdict changes with {})",
                source.file, source.line, source.key, source.value, source.alternative
            ));
        }
    }
    let configurations = attribution.configurations;
    if attribution.line_sets.is_empty() && configurations > 0 {
        lines.push(format!(
            "      none found in {configurations} alternative configurations"
        ));
    }
    lines
}
