//! The report of a series of runs: for people, as JSON, or as `JUnit` XML for build servers.

use crate::error::BenchError;
use hdrhistogram::Histogram;
use quartzcleat_expectations::report::{junit_case, junit_suite};
use quartzcleat_fault_injection::{Row, Scenario};
use serde_json::json;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The longest gap that the histogram distinguishes: ten minutes.
const MAX_GAP_US: u64 = 600_000_000;
/// Significant digits of the histogram.
const GAP_DIGITS: u8 = 3;

/// A series of runs.
pub(super) struct SeriesReport<'a> {
    /// The scenario's file.
    pub file: &'a str,
    /// The scenario.
    pub scenario: &'a Scenario,
    /// A row for each seed.
    pub rows: &'a [Row],
    /// How long the series took.
    pub elapsed: Duration,
}

/// Times without a lease holder, in milliseconds.
struct Gaps {
    p50: f64,
    p90: f64,
    p99: f64,
    max: f64,
}

impl SeriesReport<'_> {
    fn sum(&self, value: impl Fn(&Row) -> usize) -> usize {
        self.rows.iter().map(value).sum()
    }

    fn empty_runs(&self) -> usize {
        self.rows.iter().filter(|row| row.empty).count()
    }

    /// A value per second and limiter.
    fn per_second(&self, value: impl Fn(&Row) -> f64) -> f64 {
        let seconds: f64 = self.rows.iter().map(|row| row.limiter_seconds).sum();
        self.rows.iter().map(value).sum::<f64>() / seconds.max(1e-9)
    }

    fn gaps(&self) -> Result<Gaps, BenchError> {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_GAP_US, GAP_DIGITS)?;
        for gap_us in self.rows.iter().flat_map(|row| &row.gaps_us) {
            histogram.saturating_record(*gap_us);
        }
        let at_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Ok(Gaps {
            p50: at_ms(0.5),
            p90: at_ms(0.9),
            p99: at_ms(0.99),
            max: at_ms(1.0),
        })
    }

    /// The command that runs a seed again.
    fn command_for(&self, seed: u64) -> String {
        format!(
            "quartzcleat-bench trial {} --seeds {seed}..{seed}",
            self.file
        )
    }

    /// The report for people.
    ///
    /// # Errors
    /// Fails where the histogram of gaps cannot be set up.
    pub(super) fn text(&self) -> Result<String, BenchError> {
        let failed = self.rows.iter().filter(|row| !row.holds());
        let findings: Vec<String> = failed.map(|row| self.finding_text(row)).collect();
        Ok(self.totals_text()? + &findings.concat())
    }

    fn finding_text(&self, row: &Row) -> String {
        let command = self.command_for(row.seed);
        format!("seed {}: {}  again: {command}\n", row.seed, row.finding)
    }

    fn totals_text(&self) -> Result<String, BenchError> {
        let Gaps { p50, p90, p99, max } = self.gaps()?;
        let testbed_cpu_s: f64 = self.rows.iter().map(|row| row.testbed_cpu_s).sum();
        Ok(format!(
            "{} trials of {} limiters, {} acceptors, in {:.0} s: {} operations accepted, {} rejected, {} changes of holder, \
             {} of them while the previous holder was paused\nstale tokens accepted {}, overlapping operations {}, \
             empty trials {}\ntime without a holder, ms: p50 {p50:.0}, p90 {p90:.0}, p99 {p99:.0}, max {max:.0}\n\
             per limiter and second: {:.1} datagrams, {:.0} bytes, {:.2} ms of CPU; peak memory {} kB\n\
             testbed: {:.2} s of CPU per trial\n",
            self.rows.len(),
            self.scenario.limiters,
            self.scenario.acceptors,
            self.elapsed.as_secs_f64(),
            self.sum(|row| row.accepted),
            self.sum(|row| row.refused),
            self.sum(|row| row.changes),
            self.sum(|row| row.while_paused),
            self.sum(|row| row.stale_tokens),
            self.sum(|row| row.overlaps),
            self.empty_runs(),
            self.per_second(|row| row.datagrams as f64),
            self.per_second(|row| row.bytes as f64),
            self.per_second(|row| row.cpu_s * 1e3),
            self.rows.iter().map(|row| row.peak_kb).max().unwrap_or(0),
            testbed_cpu_s / self.rows.len().max(1) as f64,
        ))
    }

    /// Totals and rows as JSON. Its keys are a stored format; they keep their spelling.
    ///
    /// # Errors
    /// Fails where the histogram of gaps cannot be set up.
    pub(super) fn json(&self) -> Result<String, BenchError> {
        let Gaps { p50, p90, p99, max } = self.gaps()?;
        let report = json!({
            "story": self.file,
            "limiters": self.scenario.limiters,
            "voters": self.scenario.acceptors,
            "holds": self.rows.iter().all(Row::holds),
            "accepted": self.sum(|row| row.accepted),
            "refused": self.sum(|row| row.refused),
            "changes": self.sum(|row| row.changes),
            "while_paused": self.sum(|row| row.while_paused),
            "old_tokens": self.sum(|row| row.stale_tokens),
            "at_once": self.sum(|row| row.overlaps),
            "empty": self.empty_runs(),
            "gaps_ms": [p50, p90, p99, max],
            "rows": self.rows,
        });
        Ok(serde_json::to_string_pretty(&report)? + "\n")
    }

    /// `JUnit` XML with a case for each seed.
    pub(super) fn junit(&self) -> String {
        let cases: Vec<String> = self.rows.iter().map(|row| self.junit_case(row)).collect();
        junit_suite("trials", &cases)
    }

    fn junit_case(&self, row: &Row) -> String {
        let fault = if row.holds() {
            String::new()
        } else {
            row.finding.clone() + &self.command_for(row.seed)
        };
        junit_case(&format!("seed {}", row.seed), self.file, &fault)
    }
}
