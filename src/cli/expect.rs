//! `quartzcleat expect`: checks expectations in simulation, without traffic.

use super::{print, Format};
use clap::Args;
use quartzcleat_expectations::{check, report, Budget, Options, SettingRange};
use std::path::PathBuf;
use std::process::ExitCode;

#[cfg(test)]
mod tests;

/// Check expectations of routing, quotas and retries without traffic.
///
/// Each expectation runs with the real decision engine in a simulation of the installation, through every order of
/// events and every outcome that it leaves open: exhaustively to a depth, then by random walks for the rest of the
/// budget.
/// A failure is reported with the shortest timeline found, the command that replays it, and the lines of
/// configuration behind it. An expectation that no run exercises does not hold, nor does a vacuous one: one that holds
/// under every variation of its scenario.
///
/// Exit code 0: all hold; 1: one does not; 2: a file cannot be used.
#[derive(Debug, Args)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each one is a flag of the command line"
)]
pub struct Expect {
    /// Files of expectations, or folders of them.
    #[arg(default_value = "deploy/expectations")]
    paths: Vec<PathBuf>,
    /// Other settings than the files name: YAML, or a limiter's JSON.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Check under these settings too; for each verdict that differs, show the smallest set of changed lines
    /// that causes it.
    #[arg(long, value_name = "OLD")]
    against: Option<PathBuf>,
    /// Check a setting at two values and their middle: plans.guide.rate=1.2..2.1. May be given several times.
    #[arg(long, value_name = "NAME=FROM..TO", value_parser = parse_range)]
    range: Vec<SettingRange>,
    /// Only expectations whose name contains this.
    #[arg(long, value_name = "WORDS")]
    only: Option<String>,
    /// Only one deployment's expectations: those whose `settings` name NAME.yaml.
    #[arg(long, value_name = "NAME")]
    deployment: Option<String>,
    /// The most runs for each expectation.
    #[arg(long, alias = "plays", value_name = "N", default_value_t = Budget::default().max_runs)]
    runs: u64,
    /// The most events over all runs of an expectation.
    #[arg(long, value_name = "N", default_value_t = Budget::default().max_events)]
    events: u64,
    /// The most choices to which the exploration is exhaustive.
    #[arg(long, value_name = "N", default_value_t = Budget::default().max_depth)]
    depth: usize,
    /// The seed of the random walks.
    #[arg(long, value_name = "N", default_value_t = Budget::default().seed)]
    seed: u64,
    /// Expectations explored concurrently; 0 for one a core.
    #[arg(long, value_name = "N", default_value_t = 0)]
    jobs: usize,
    /// Run the scenarios on loopback too, with real limiters and fake services, and compare the verdicts.
    #[arg(long)]
    live: bool,
    /// Run this path of choices alone and show its timeline: 0,2,1.
    #[arg(long, value_name = "CHOICES", value_delimiter = ',')]
    path: Option<Vec<usize>>,
    /// Do not look for the lines of configuration behind a failure.
    #[arg(long, alias = "no-blame")]
    no_attribution: bool,
    /// Do not vary expectations that hold to find vacuous ones.
    #[arg(long, alias = "no-vary")]
    no_vacuity: bool,
    /// Show those that hold, too.
    #[arg(long, short)]
    verbose: bool,
    /// The format of the report.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// The reason why a `--range` argument is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum RangeError {
    /// There is no `=` between a name and its values.
    #[error("write NAME=FROM..TO, such as plans.guide.rate=1.2..2.1")]
    MissingName,
    /// A value is not a number.
    #[error("{text:?} is no number; write NAME=FROM..TO, such as plans.guide.rate=1.2..2.1")]
    NotNumber { text: String },
}

/// Parses `NAME=FROM..TO` or `NAME=VALUE`. A range yields its two ends and its midpoint.
fn parse_range(text: &str) -> Result<SettingRange, RangeError> {
    let (name, values) = text.split_once('=').ok_or(RangeError::MissingName)?;
    let values = match values.split_once("..") {
        Some((from, to)) => {
            let from = parse_number(from)?;
            let to = parse_number(to)?;
            vec![from, f64::midpoint(from, to), to]
        }
        None => vec![parse_number(values)?],
    };
    Ok(SettingRange {
        name: name.to_owned(),
        values,
    })
}

fn parse_number(text: &str) -> Result<f64, RangeError> {
    text.trim().parse().map_err(|_| RangeError::NotNumber {
        text: text.to_owned(),
    })
}

impl Expect {
    /// Checks the expectations, prints the report and returns the exit code.
    pub fn run(self) -> ExitCode {
        let format = self.format;
        let verbose = self.verbose || self.path.is_some();
        let is_live = self.live;
        let options = self.into_options();
        if is_live {
            return super::live::run(&options, format, verbose);
        }
        let checked = check(&options);
        print(&match format {
            Format::Human => report::human(&checked, verbose),
            Format::Json => report::json(&checked),
            Format::Junit => report::junit(&checked),
        });
        ExitCode::from(checked.exit_code())
    }

    fn into_options(self) -> Options {
        Options {
            paths: self.paths,
            settings: self.settings,
            compare_with: self.against,
            ranges: self.range,
            name_filter: self.only,
            deployment: self.deployment,
            budget: Budget {
                max_runs: self.runs,
                max_events: self.events,
                max_depth: self.depth,
                seed: self.seed,
            },
            attribute_sources: !self.no_attribution,
            check_vacuity: !self.no_vacuity,
            jobs: self.jobs,
            replay: self.path,
        }
    }
}
