//! The stored result of one seed, as a line of JSON. An interrupted series of runs resumes from such lines, and all
//! reports are made from them. The keys and the texts of findings are a stored format and must keep their spelling.

use crate::target::Action;
use crate::testbed::RunReport;
use crate::verdict::{judge, Verdict};
use crate::Scenario;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The result of one seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The seed of the run.
    pub seed: u64,
    /// The number of accepted actions.
    pub accepted: usize,
    /// The number of actions that were refused because of their tokens.
    pub refused: usize,
    /// The number of changes of lease holder.
    pub changes: usize,
    /// The number of these changes during which the earlier holder was paused.
    pub while_paused: usize,
    /// The number of actions that were accepted with a lower token than an earlier one.
    #[serde(rename = "old_tokens")]
    pub stale_tokens: usize,
    /// The number of pairs of accepted actions with different tokens that overlapped in time.
    #[serde(rename = "at_once")]
    pub overlaps: usize,
    /// Whether there were fewer changes of lease holder than the scenario requires.
    pub empty: bool,
    /// Times between one holder's last action and the next one's first, in microseconds.
    pub gaps_us: Vec<u64>,
    /// The length of the run times the number of limiters, in seconds.
    pub limiter_seconds: f64,
    /// The number of datagrams that reached all links.
    pub datagrams: u64,
    /// Their total size in bytes.
    pub bytes: u64,
    /// CPU time of the limiters that ran to the end, in seconds.
    pub cpu_s: f64,
    /// The largest peak resident set size of these limiters, in kilobytes.
    pub peak_kb: u64,
    /// CPU time of the testbed itself, in seconds: relays, target and fault injection.
    #[serde(rename = "ground_cpu_s")]
    pub testbed_cpu_s: f64,
    /// A description of the violation, or of why the run is empty, with the faults before it. Empty if neither applies.
    #[serde(rename = "broken")]
    pub finding: String,
}

impl Row {
    /// Judges the report of a run and returns its row.
    #[must_use]
    pub fn of(scenario: &Scenario, seed: u64, report: &RunReport) -> Row {
        let verdict = judge(&report.actions, &report.marks);
        let empty = verdict.changes < scenario.required_changes;
        let micros = |gap: &Duration| gap.as_micros() as u64;
        Row {
            seed,
            accepted: verdict.accepted,
            refused: verdict.refused,
            changes: verdict.changes,
            while_paused: verdict.while_paused,
            stale_tokens: verdict.stale_tokens,
            overlaps: verdict.overlaps,
            empty,
            gaps_us: verdict.gaps.iter().map(micros).collect(),
            limiter_seconds: report.duration.as_secs_f64() * scenario.limiters as f64,
            datagrams: report.traffic.datagrams,
            bytes: report.traffic.bytes,
            cpu_s: report.cpu.as_secs_f64(),
            peak_kb: report.peak_kb,
            testbed_cpu_s: report.testbed_cpu.as_secs_f64(),
            finding: finding(&verdict, empty, report),
        }
    }

    /// Returns whether there is no violation and the run is not empty.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.stale_tokens == 0 && self.overlaps == 0 && !self.empty
    }
}

/// Describes the violated property, two actions that show it, and the faults up to them; or why the run is empty.
/// Returns an empty string if neither applies.
fn finding(verdict: &Verdict, empty: bool, report: &RunReport) -> String {
    if let Some(violation) = verdict.violation {
        let property = if violation.later.token < violation.earlier.token {
            "an old token was let in"
        } else {
            "two acts at once"
        };
        let earlier = action_text(&violation.earlier);
        let later = action_text(&violation.later);
        let faults = fault_lines(report, violation.later.to);
        return format!("{property}: {earlier}\n  then {later}\n{faults}");
    }
    if empty {
        let faults = fault_lines(report, report.duration);
        return format!(
            "empty: {} changes of holder, {} acts let in\n{faults}",
            verdict.changes, verdict.accepted
        );
    }
    String::new()
}

/// Formats an action in the stored format, whose words are older than the present type and field names.
fn action_text(action: &Action) -> String {
    let Action {
        from,
        to,
        token,
        accepted,
    } = action;
    format!(
        "Seen {{ from: {from:?}, to: {to:?}, token: Ballot {{ round: {}, bidder: {}, boot: {} }}, accepted: {accepted} }}",
        token.round, token.proposer, token.incarnation
    )
}

/// Formats the starts and ends of faults up to `end`, one per line.
fn fault_lines(report: &RunReport, end: Duration) -> String {
    report
        .marks
        .iter()
        .filter(|mark| mark.at <= end)
        .map(|mark| {
            format!(
                "  {:?} {} of limiter {:?}\n",
                mark.at,
                mark.event,
                Some(mark.limiter.0)
            )
        })
        .collect::<Vec<String>>()
        .concat()
}
