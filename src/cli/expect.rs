//! `quartzcleat expect`: expectations checked without traffic.

use super::{print, Format};
use clap::Args;
use quartzcleat_expectations::{report, run, Budget, Options};
use std::path::PathBuf;
use std::process::ExitCode;

/// Check expectations of routing, quotas and retries without traffic.
///
/// Each expectation is played by the real decision module in a model of the installation, through every order of
/// events and every outcome that it leaves open: all ways to a depth, then random walks for the rest of the budget.
/// One that fails is told as the shortest story found, with the command that replays it and the lines of
/// configuration behind it. One that no play put to the test does not hold, nor does one that holds whatever is
/// changed of what it names.
///
/// Exit code 0: all hold; 1: one does not; 2: a file cannot be used.
#[derive(Debug, Args)]
pub struct Expect {
    /// Files of expectations, or folders of them.
    #[arg(default_value = "deploy/expectations")]
    paths: Vec<PathBuf>,
    /// Another day's settings than the files name: YAML, or a limiter's JSON.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Check under these settings too; for each verdict that differs, show the smallest set of changed lines that
    /// does it.
    #[arg(long, value_name = "OLD")]
    against: Option<PathBuf>,
    /// Check a figure from one value to another and half way: plans.guide.rate=1.2..2.1. May be given several times.
    #[arg(long, value_name = "NAME=FROM..TO", value_parser = range)]
    range: Vec<(String, Vec<f64>)>,
    /// Only expectations whose name holds this.
    #[arg(long, value_name = "WORDS")]
    only: Option<String>,
    /// Only one deployment's expectations: those whose `settings` name NAME.yaml.
    #[arg(long, value_name = "NAME")]
    deployment: Option<String>,
    /// Plays for each expectation, at most.
    #[arg(long, value_name = "N", default_value_t = Budget::default().plays)]
    plays: u64,
    /// Events over all plays of an expectation, at most.
    #[arg(long, value_name = "N", default_value_t = Budget::default().events)]
    events: u64,
    /// Choices to which all ways are tried, at most.
    #[arg(long, value_name = "N", default_value_t = Budget::default().depth)]
    depth: usize,
    /// For the random walks.
    #[arg(long, value_name = "N", default_value_t = Budget::default().seed)]
    seed: u64,
    /// Expectations explored at once; 0 for one a core.
    #[arg(long, value_name = "N", default_value_t = 0)]
    jobs: usize,
    /// Play the stories on loopback too, with real limiters before stand-ins, and compare the verdicts.
    #[arg(long)]
    live: bool,
    /// Play this path of choices alone and tell its story: 0,2,1.
    #[arg(long, value_name = "CHOICES", value_delimiter = ',')]
    path: Option<Vec<usize>>,
    /// Do not look for the lines of configuration behind a failure.
    #[arg(long)]
    no_blame: bool,
    /// Do not ask expectations that hold whether they say anything.
    #[arg(long)]
    no_vary: bool,
    /// Show those that hold, too.
    #[arg(long, short)]
    verbose: bool,
    /// The form of the report.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// Reads `NAME=FROM..TO` or `NAME=VALUE`.
fn range(text: &str) -> Result<(String, Vec<f64>), String> {
    let usage = "write NAME=FROM..TO, such as plans.guide.rate=1.2..2.1";
    let (name, values) = text.split_once('=').ok_or(usage)?;
    let number = |text: &str| {
        text.trim()
            .parse::<f64>()
            .map_err(|_| format!("{text:?} is no number; {usage}"))
    };
    let values = match values.split_once("..") {
        Some((from, to)) => {
            let (from, to) = (number(from)?, number(to)?);
            vec![from, (from + to) / 2.0, to]
        }
        None => vec![number(values)?],
    };
    Ok((name.to_owned(), values))
}

impl Expect {
    /// Checks.
    pub fn run(self) -> ExitCode {
        let (format, verbose) = (self.format, self.verbose || self.path.is_some());
        let options = Options {
            paths: self.paths,
            settings: self.settings,
            against: self.against,
            ranges: self.range,
            only: self.only,
            deployment: self.deployment,
            budget: Budget {
                plays: self.plays,
                events: self.events,
                depth: self.depth,
                seed: self.seed,
            },
            blame: !self.no_blame,
            vary: !self.no_vary,
            jobs: self.jobs,
            replay: self.path,
        };
        if self.live {
            return super::live::run(&options, options.jobs, format, verbose);
        }
        let outcome = run(&options);
        print(&match format {
            Format::Human => report::human(&outcome, verbose),
            Format::Json => report::json(&outcome),
            Format::Junit => report::junit(&outcome),
        });
        ExitCode::from(outcome.code())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_have_their_ends_and_their_middle() {
        assert_eq!(
            range("plans.guide.rate=1..2"),
            Ok(("plans.guide.rate".into(), vec![1.0, 1.5, 2.0]))
        );
        assert_eq!(range("x=3"), Ok(("x".into(), vec![3.0])));
        assert!(range("x").is_err() && range("x=1..a").is_err());
    }
}
