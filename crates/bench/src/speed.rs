//! How long a run of expectations takes, by cores and by the number of expectations.

use crate::spread::Spread;
use clap::Args;
use quartzcleat_expectations::check::ExplorationCounts;
use quartzcleat_expectations::{check, Budget, CheckReport, Options};
use std::path::PathBuf;

const TABLE_HEAD: &str = "| cores | plays for each | expectations | plays | states | complete | seconds: least / median / most | states a second |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
/// The events that a run may explore for each of its plays.
const EVENTS_PER_PLAY: u64 = 300;

/// One row of the table.
struct Case {
    jobs: usize,
    plays: u64,
    /// Only expectations whose names contain these words.
    only: Option<&'static str>,
}

const CASES: [Case; 5] = [
    Case {
        jobs: 1,
        plays: 2_000,
        only: None,
    },
    Case {
        jobs: 2,
        plays: 2_000,
        only: None,
    },
    Case {
        jobs: 4,
        plays: 2_000,
        only: None,
    },
    Case {
        jobs: 4,
        plays: 2_000,
        only: Some("a b"),
    },
    Case {
        jobs: 4,
        plays: 20_000,
        only: None,
    },
];

/// Time of a run of expectations against cores and their number.
#[derive(Debug, Args)]
pub(crate) struct Speed {
    /// The expectations.
    #[arg(long, default_value = "deploy/expectations")]
    expectations: PathBuf,
    /// Runs of each.
    #[arg(long, default_value_t = 3)]
    runs: usize,
}

impl Speed {
    /// Measures all cases; returns a table.
    pub(crate) fn run(self) -> String {
        let rows: Vec<String> = CASES.iter().map(|case| self.measure(case)).collect();
        TABLE_HEAD.to_owned() + &rows.concat()
    }

    fn measure(&self, case: &Case) -> String {
        let options = Options {
            paths: vec![self.expectations.clone()],
            budget: Budget {
                max_runs: case.plays,
                max_events: case.plays * EVENTS_PER_PLAY,
                ..Budget::default()
            },
            jobs: case.jobs,
            name_filter: case.only.map(str::to_owned),
            ..Options::default()
        };
        let mut last = check(&options);
        let mut seconds = vec![last.seconds];
        for _ in 1..self.runs {
            last = check(&options);
            seconds.push(last.seconds);
        }
        row(case, &last, Spread::of(seconds))
    }
}

fn row(case: &Case, last: &CheckReport, seconds: Spread) -> String {
    let sum = |count: fn(&ExplorationCounts) -> u64| -> u64 {
        let explored = last.results.iter().map(|result| &result.explored);
        explored.map(count).sum()
    };
    let states = sum(|counts| counts.states);
    let complete = last
        .results
        .iter()
        .filter(|result| result.explored.is_exhaustive)
        .count();
    format!(
        "| {} | {} | {} | {} | {states} | {complete} | {seconds} | {:.0} |\n",
        case.jobs,
        case.plays,
        last.results.len(),
        sum(|counts| counts.runs),
        states as f64 / seconds.median
    )
}
