//! `quartzcleat use`: what each customer used, as a sink holds it.

use super::{print, Format};
use crate::net::usage_export::{read_sink, read_spools};
use clap::Args;
use quartzcleat_usage_export::{BatchId, SinkReport};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;

/// Add up what each customer used, from a sink of exported use.
///
/// A batch counts once, in whichever files of the sink it stands. Exits with 1 where numbers are missing or a batch
/// stands there with two contents, with 2 where a folder cannot be read.
#[derive(Debug, Args)]
pub struct Used {
    /// The sink's folder.
    sink: PathBuf,
    /// Folders of spools whose rest is counted too: of limiters that are gone for good, or stand still.
    #[arg(long)]
    spool: Vec<PathBuf>,
    /// The form of the report.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

impl Used {
    /// Adds up.
    pub fn run(self) -> ExitCode {
        let read = || {
            let mut sink =
                read_sink(&self.sink).map_err(|e| format!("{}: {e}", self.sink.display()))?;
            for folder in &self.spool {
                let spools =
                    read_spools(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
                spools.iter().for_each(|spool| sink.add_spool(spool));
            }
            Ok::<SinkReport, String>(sink.report())
        };
        match read() {
            Ok(report) => {
                let text = if self.format == Format::Human {
                    human(&report)
                } else {
                    json(&report)
                };
                print(&text);
                ExitCode::from(u8::from(
                    !report.missing.is_empty() || !report.conflicts.is_empty(),
                ))
            }
            Err(problem) => {
                eprintln!("quartzcleat: {problem}");
                ExitCode::from(2)
            }
        }
    }
}

fn units(thousandths: u64) -> f64 {
    thousandths as f64 / 1_000.0
}

fn human(report: &SinkReport) -> String {
    let mut text = format!(
        "{:>16} {:>14} {:>14} {:>10}\n",
        "customer", "units", "unknown", "attempts"
    );
    for (customer, used) in &report.usage {
        let (ran, unknown) = (
            units(used.executed_milliunits),
            units(used.uncertain_milliunits),
        );
        let _ = writeln!(
            text,
            "{customer:016x} {ran:>14.3} {unknown:>14.3} {:>10}",
            used.executed_attempts
        );
    }
    let _ = writeln!(
        text,
        "batches in two files: {}; lines cut off or rotted: {}",
        report.duplicates, report.corrupt_lines
    );
    for (what, found) in [
        ("missing", &report.missing),
        ("of two contents", &report.conflicts),
    ] {
        for BatchId { source, sequence } in found {
            let _ = writeln!(
                text,
                "batch {sequence} of {} {} is {what}",
                source.name, source.epoch
            );
        }
    }
    text
}

fn json(report: &SinkReport) -> String {
    let customers = report.usage.iter().map(|(customer, used)| {
        serde_json::json!({
            "customer": format!("{customer:016x}"),
            "units": units(used.executed_milliunits),
            "unknown": units(used.uncertain_milliunits),
            "attempts": used.executed_attempts,
        })
    });
    let batches = |found: &[BatchId]| -> Vec<_> {
        found
            .iter()
            .map(|BatchId { source, sequence }| {
                serde_json::json!([source.name, source.epoch, sequence])
            })
            .collect()
    };
    let told = serde_json::json!({
        "customers": customers.collect::<Vec<_>>(),
        "doubles": report.duplicates,
        "spoilt": report.corrupt_lines,
        "missing": batches(&report.missing),
        "conflicts": batches(&report.conflicts),
    });
    format!("{told:#}\n")
}
