//! `quartzcleat expect`: checks expectations in simulation, without traffic.

use super::{print, Format};
use clap::Args;
use quartzcleat_expectations::{check, report, Budget, Options, SettingRange};
use std::path::PathBuf;
use std::process::ExitCode;

#[cfg(test)]
mod tests;

/// Check expectations of routing, quotas and retries in simulation, without traffic.
///
/// Each expectation runs with the real decision engine in a simulation of the installation, through every order of
/// events and every outcome that it leaves open: exhaustively up to a depth, then by random walks until the budget is
/// used up.
/// A failure is reported with the shortest timeline found, the command that replays it, and the configuration lines
/// that cause it. An expectation does not hold if no run exercises it, or if it is vacuous, which means that it holds
/// under every variation of its scenario.
///
/// Exit code 0: all hold; 1: one does not; 2: a file cannot be used.
#[derive(Debug, Args)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each one is a flag of the command line"
)]
pub struct Expect {
    /// Expectation files, or folders of them.
    #[arg(default_value = "deploy/expectations")]
    paths: Vec<PathBuf>,
    /// Settings to use instead of those that the files name: YAML, or a limiter's JSON.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Check under these settings too, and show for each verdict that differs the smallest set of changed lines that
    /// causes it.
    #[arg(long, value_name = "OLD")]
    against: Option<PathBuf>,
    /// Check a setting at two values and their midpoint, such as plans.guide.rate=1.2..2.1. May be given several times.
    #[arg(long, value_name = "NAME=FROM..TO", value_parser = parse_range)]
    range: Vec<SettingRange>,
    /// Check only expectations whose name contains this text.
    #[arg(long, value_name = "WORDS")]
    only: Option<String>,
    /// Check only one deployment's expectations: those whose `settings` name NAME.yaml.
    #[arg(long, value_name = "NAME")]
    deployment: Option<String>,
    /// Maximum number of runs per expectation.
    #[arg(long, alias = "plays", value_name = "N", default_value_t = Budget::default().max_runs)]
    runs: u64,
    /// Maximum number of events over all runs of an expectation.
    #[arg(long, value_name = "N", default_value_t = Budget::default().max_events)]
    events: u64,
    /// Maximum number of choices up to which the exploration is exhaustive.
    #[arg(long, value_name = "N", default_value_t = Budget::default().max_depth)]
    depth: usize,
    /// Seed of the random walks.
    #[arg(long, value_name = "N", default_value_t = Budget::default().seed)]
    seed: u64,
    /// Number of expectations explored concurrently; 0 for one per core, or for 6 with --live.
    #[arg(long, value_name = "N", default_value_t = 0)]
    jobs: usize,
    /// Also run the scenarios on loopback, with real limiters and fake services, and compare the verdicts.
    #[arg(long)]
    live: bool,
    /// Run only this path of choices, such as 0,2,1, and show its timeline.
    #[arg(long, value_name = "CHOICES", value_delimiter = ',')]
    path: Option<Vec<usize>>,
    /// Do not search for the configuration lines that cause a failure.
    #[arg(long, alias = "no-blame")]
    no_attribution: bool,
    /// Do not vary the scenarios of expectations that hold to find vacuous ones.
    #[arg(long, alias = "no-vary")]
    no_vacuity: bool,
    /// Also show the expectations that hold.
    #[arg(long, short)]
    verbose: bool,
    /// Output format of the report.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// The reason why a `--range` argument is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum RangeError {
    /// There is no `=` between a name and its values.
    #[error("expected NAME=FROM..TO, such as plans.guide.rate=1.2..2.1")]
    MissingName,
    /// A value is not a number.
    #[error("{text:?} is not a number; expected NAME=FROM..TO, such as plans.guide.rate=1.2..2.1")]
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
