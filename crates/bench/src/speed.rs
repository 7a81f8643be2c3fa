//! How long a run of expectations takes, by cores and by how many expectations there are.

use crate::spread;
use clap::Args;
use quartzcleat_expectations::{check, Budget, Options};
use std::fmt::Write as _;
use std::path::PathBuf;

/// Time of a run of expectations against cores and their number.
#[derive(Debug, Args)]
pub struct Speed {
    /// The expectations.
    #[arg(long, default_value = "deploy/expectations")]
    expectations: PathBuf,
    /// Runs of each.
    #[arg(long, default_value_t = 3)]
    runs: usize,
}

impl Speed {
    /// Measures.
    pub fn run(self) -> Result<String, String> {
        let mut out = String::from(
            "| cores | plays for each | expectations | plays | states | complete | seconds: least / median / most | states a second |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n"
        );
        for (jobs, plays, only) in [
            (1, 2_000, None),
            (2, 2_000, None),
            (4, 2_000, None),
            (4, 2_000, Some("a b")),
            (4, 20_000, None),
        ] {
            let budget = Budget {
                max_runs: plays,
                max_events: plays * 300,
                ..Budget::default()
            };
            let options = Options {
                paths: vec![self.expectations.clone()],
                budget,
                jobs,
                name_filter: only.map(str::to_owned),
                ..Options::default()
            };
            let outcomes: Vec<_> = (0..self.runs.max(1)).map(|_| check(&options)).collect();
            let last = outcomes.last().ok_or("no run")?;
            let sum =
                |figure: fn(&quartzcleat_expectations::check::ExplorationCounts) -> u64| -> u64 {
                    last.results
                        .iter()
                        .map(|result| figure(&result.explored))
                        .sum()
                };
            let (played, states) = (sum(|counts| counts.runs), sum(|counts| counts.states));
            let complete = last
                .results
                .iter()
                .filter(|result| result.explored.is_exhaustive)
                .count();
            let (least, median, most) =
                spread(outcomes.iter().map(|outcome| outcome.seconds).collect());
            let _ = writeln!(
                out,
                "| {jobs} | {plays} | {} | {played} | {states} | {complete} | {least:.2} / {median:.2} / {most:.2} | {:.0} |",
                last.results.len(),
                states as f64 / median
            );
        }
        Ok(out)
    }
}
