//! `trial`: a scenario run with many seeds on real processes, and one verdict on all runs.

mod plot;
mod report;
mod rows;
mod series;

use crate::error::{read_file, BenchError};
use crate::seeds::SeedRange;
use clap::{Args, ValueEnum};
use quartzcleat_fault_injection::{run, shrink, Row, Scenario, Testbed};
use rows::{RowFile, RowFileHead, StoredRows};
use series::Series;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// A smaller scenario fails where one of so many runs of it does: processes never run the same way twice.
const RUNS_PER_SHRINK_STEP: usize = 3;

/// The form of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// For people.
    Text,
    /// Totals and rows as JSON.
    Json,
    /// `JUnit` XML, a case for each seed.
    Junit,
}

/// Run a scenario with many seeds on real limiters.
#[derive(Debug, Args)]
pub(crate) struct Trial {
    /// The scenario, such as deploy/trials/leases.yaml.
    #[arg(value_name = "STORY")]
    scenario: PathBuf,
    /// Seeds, the last one included.
    #[arg(long, default_value = "1..20")]
    seeds: SeedRange,
    /// Runs at the same time.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// The limiter.
    #[arg(long, default_value = "target/release/quartzcleat")]
    program: PathBuf,
    /// Another build, which every other limiter runs: old beside new.
    #[arg(long)]
    beside: Option<PathBuf>,
    /// The platform's configuration that limiters start with.
    #[arg(long, default_value = "examples/toy.json")]
    platform: PathBuf,
    /// Where runs store their files; a run that could not be carried out leaves them there.
    #[arg(long, default_value = "logs/trials")]
    folder: PathBuf,
    /// The target accepts every action, as one that cannot check tokens would: shows what the check is for.
    #[arg(long)]
    unchecked: bool,
    /// Stores a line for each seed in this file; an interrupted series resumes from it.
    #[arg(long)]
    rows: Option<PathBuf>,
    /// The form of the report.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Draws the last seed (or the first that failed): the actions and faults of each limiter over time.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Shrinks the scenario of the first failing seed as long as it still fails, and writes it to this file.
    #[arg(long)]
    shrink: Option<PathBuf>,
}

impl Trial {
    /// Runs all seeds and reports.
    ///
    /// # Errors
    /// Fails where files or processes fail, and with the report where a seed does not hold.
    pub(crate) fn run(self) -> Result<String, BenchError> {
        let file = self.scenario.display().to_string();
        let text = read_file(&self.scenario)?;
        let scenario = Scenario::read(&file, &text)?;
        let platform = read_file(&self.platform)?;
        let stored = self.open_rows(text)?;
        let start = Instant::now();
        let testbed = |part: &str| self.testbed(&platform, part);
        let series = Series {
            scenario: &scenario,
            seeds: self.seeds,
            jobs: self.jobs,
            testbed: &testbed,
        };
        let rows = series.run(stored)?;
        let failed = rows.iter().find(|row| !row.holds()).map(|row| row.seed);
        if let Some(file) = &self.plot {
            let seed = failed.unwrap_or(self.seeds.last);
            plot_seed(file, &scenario, seed, &testbed("plot"))?;
        }
        if let (Some(file), Some(seed)) = (&self.shrink, failed) {
            let small = shrink_seed(&scenario, seed, &testbed("shrink"));
            std::fs::write(file, small.write()).map_err(BenchError::at(file))?;
        }
        let report = report::SeriesReport {
            file: &file,
            scenario: &scenario,
            rows: &rows,
            elapsed: start.elapsed(),
        };
        let text = match self.format {
            Format::Text => report.text()?,
            Format::Json => report.json()?,
            Format::Junit => report.junit(),
        };
        match failed {
            None => Ok(text),
            Some(_) => Err(BenchError::FailedSeeds(text)),
        }
    }

    fn testbed(&self, platform: &str, part: &str) -> Testbed {
        Testbed {
            program: self.program.clone(),
            alternate_program: self.beside.clone(),
            platform_config: platform.to_owned(),
            folder: self.folder.join(part),
            checks_tokens: !self.unchecked,
        }
    }

    fn open_rows(&self, scenario: String) -> Result<StoredRows, BenchError> {
        let head = RowFileHead {
            scenario,
            unchecked: self.unchecked,
        };
        match &self.rows {
            None => Ok(StoredRows::default()),
            Some(path) => RowFile::resume(path, &head),
        }
    }
}

fn plot_seed(
    file: &Path,
    scenario: &Scenario,
    seed: u64,
    testbed: &Testbed,
) -> Result<(), BenchError> {
    let report = run(scenario, seed, testbed).map_err(|source| BenchError::Run { seed, source })?;
    plot::draw(file, scenario, seed, &report).map_err(|source| BenchError::Plot {
        path: file.to_owned(),
        source,
    })
}

/// The smallest scenario found that still fails with a seed.
fn shrink_seed(scenario: &Scenario, seed: u64, testbed: &Testbed) -> Scenario {
    let fails_once = |candidate: &Scenario| {
        let report = run(candidate, seed, testbed);
        report.is_ok_and(|report| !Row::of(candidate, seed, &report).holds())
    };
    shrink(scenario.with_schedule_of(seed), |candidate| {
        (0..RUNS_PER_SHRINK_STEP).any(|_| fails_once(candidate))
    })
}
