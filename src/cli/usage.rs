//! `quartzcleat usage`: adds up the usage of each customer in a sink.

use super::{print, Format};
use crate::net::usage_export::{read_sink, read_spools};
use clap::Args;
use quartzcleat_usage_export::{BatchId, SinkReport};
use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Exit code if batches are missing or a batch has conflicting contents.
const EXIT_INCOMPLETE: u8 = 1;

/// Exit code if a folder cannot be read.
const EXIT_UNREADABLE: u8 = 2;

const MILLIUNITS_PER_UNIT: f64 = 1_000.0;

/// Add up the usage of each customer from a sink of exported usage records.
///
/// A batch counts once, even if several files of the sink contain it. Exit code 1: a batch is missing or has
/// conflicting contents; 2: a folder cannot be read.
#[derive(Debug, Args)]
pub struct Usage {
    /// Folder of the sink.
    sink: PathBuf,
    /// Spool folder whose remaining usage is counted too, such as that of a removed or stopped limiter. May be given
    /// several times.
    #[arg(long)]
    spool: Vec<PathBuf>,
    /// Output format of the report.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// A sink or spool folder that cannot be read.
#[derive(Debug, Error)]
#[error("{folder}: {source}", folder = folder.display())]
struct UnreadableFolder {
    folder: PathBuf,
    source: io::Error,
}

impl UnreadableFolder {
    fn new(folder: &Path, source: io::Error) -> Self {
        UnreadableFolder {
            folder: folder.to_owned(),
            source,
        }
    }
}

impl Usage {
    /// Prints the report and returns the exit code.
    pub fn run(self) -> ExitCode {
        let report = match self.read() {
            Ok(report) => report,
            Err(error) => {
                eprintln!("quartzcleat: {error}");
                return ExitCode::from(EXIT_UNREADABLE);
            }
        };
        let text = match self.format {
            Format::Human => to_table(&report),
            Format::Json | Format::Junit => to_json(&report),
        };
        print(&text);
        if report.missing.is_empty() && report.conflicts.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(EXIT_INCOMPLETE)
        }
    }

    fn read(&self) -> Result<SinkReport, UnreadableFolder> {
        let mut sink =
            read_sink(&self.sink).map_err(|error| UnreadableFolder::new(&self.sink, error))?;
        for folder in &self.spool {
            let spools =
                read_spools(folder).map_err(|error| UnreadableFolder::new(folder, error))?;
            for spool in &spools {
                sink.add_spool(spool);
            }
        }
        Ok(sink.report())
    }
}

fn to_units(milliunits: u64) -> f64 {
    milliunits as f64 / MILLIUNITS_PER_UNIT
}

fn to_table(report: &SinkReport) -> String {
    let mut text = format!(
        "{:>16} {:>14} {:>14} {:>10}\n",
        "customer", "units", "unknown", "attempts"
    );
    for (customer, usage) in &report.usage {
        let executed = to_units(usage.executed_milliunits);
        let uncertain = to_units(usage.uncertain_milliunits);
        let attempts = usage.executed_attempts;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{customer:016x} {executed:>14.3} {uncertain:>14.3} {attempts:>10}"
        );
    }
    let _ = writeln!(
        text,
        "duplicate batches: {}; corrupt lines: {}",
        report.duplicates, report.corrupt_lines
    );
    add_batches(&mut text, "missing", &report.missing);
    add_batches(&mut text, "in conflict", &report.conflicts);
    text
}

fn add_batches(text: &mut String, problem: &str, batches: &[BatchId]) {
    for BatchId { source, sequence } in batches {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "batch {sequence} of {} {} is {problem}",
            source.name, source.epoch
        );
    }
}

fn to_json(report: &SinkReport) -> String {
    let customers = report.usage.iter().map(|(customer, usage)| {
        serde_json::json!({
            "customer": format!("{customer:016x}"),
            "units": to_units(usage.executed_milliunits),
            "unknown": to_units(usage.uncertain_milliunits),
            "attempts": usage.executed_attempts,
        })
    });
    let json = serde_json::json!({
        "customers": customers.collect::<Vec<_>>(),
        "doubles": report.duplicates,
        "spoilt": report.corrupt_lines,
        "missing": to_json_batches(&report.missing),
        "conflicts": to_json_batches(&report.conflicts),
    });
    format!("{json:#}\n")
}

fn to_json_batches(batches: &[BatchId]) -> Vec<serde_json::Value> {
    batches
        .iter()
        .map(|BatchId { source, sequence }| {
            serde_json::json!([source.name, source.epoch, sequence])
        })
        .collect()
}
