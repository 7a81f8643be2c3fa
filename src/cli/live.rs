//! `quartzcleat expect --live`: also runs each scenario with real limiter processes and fakes on loopback, and compares
//! the verdict with that of the simulation. Timing may differ; verdicts may not.

mod report;

use crate::cli::Format;
use quartzcleat_config::Faults;
use quartzcleat_expectations::check::{plan, CheckTask};
use quartzcleat_expectations::evaluation::judge;
use quartzcleat_expectations::{compile, CompiledExpectation, Options};
use quartzcleat_invariants::{timeline, Answer, Fact, Record};
use quartzcleat_simulation::oracle::FirstOption;
use rayon::iter::{IndexedParallelIterator, IntoParallelRefIterator, ParallelIterator};
use serde::Serialize;
use std::cmp::Reverse;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Interval, in nanoseconds, within which the fakes cannot tell the order of events on sockets.
pub(super) const TIME_TOLERANCE_NANOS: u64 = 50_000_000;
/// Maximum number of variants that are run per scenario. A variant fixes an option at each choice that the scenario
/// leaves open.
const MAX_VARIANTS: usize = 3;
/// Number of concurrent live runs if none is given. Runs mostly wait, so there may be more of them than cores.
const DEFAULT_JOBS: usize = 6;

/// Exit code if verdicts differ.
const EXIT_DIFFERS: u8 = 1;
/// Exit code if some or all comparisons could not be made.
const EXIT_NOT_COMPARED: u8 = 2;

/// Requests and attempts counted in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct Counts {
    #[serde(rename = "asked")]
    received: usize,
    attempts: usize,
    served: usize,
    #[serde(rename = "refused")]
    rejected: usize,
    failed: usize,
}

impl Counts {
    fn from_records(records: &[Record]) -> Self {
        let mut counts = Counts::default();
        for record in records {
            match record.fact {
                Fact::RequestReceived { .. } => counts.received += 1,
                Fact::AttemptSent { .. } => counts.attempts += 1,
                Fact::Answered { answer, .. } => match answer {
                    Answer::Served => counts.served += 1,
                    Answer::Rejected(_) => counts.rejected += 1,
                    Answer::Failed => counts.failed += 1,
                },
                _ => {}
            }
        }
        counts
    }
}

/// The results of one scenario variant in the simulation and on sockets, serialized into the JSON report.
#[derive(Clone, Debug, Serialize)]
struct Comparison {
    file: String,
    line: u32,
    name: String,
    variant: usize,
    #[serde(rename = "world")]
    simulated: Counts,
    live: Counts,
    /// Description of the failure in the simulation; `None` if the expectation held.
    #[serde(rename = "world_fails")]
    simulated_failure: Option<String>,
    /// Description of the failure on sockets; `None` if the expectation held or there was no live run.
    #[serde(rename = "live_fails")]
    live_failure: Option<String>,
    /// The reason why the live run could not be made; `None` if it was made.
    fault: Option<String>,
    /// Timeline of the live run; empty if the verdicts agree.
    #[serde(rename = "story")]
    timeline: Vec<String>,
}

impl Comparison {
    fn agrees(&self) -> bool {
        let has_same_verdict = self.simulated_failure.is_some() == self.live_failure.is_some();
        self.fault.is_none() && has_same_verdict
    }
}

/// A scenario variant to be compared.
struct VariantTask<'a> {
    task: &'a CheckTask,
    /// The expectation, with the variant set in its scenario.
    compiled: CompiledExpectation,
    variant: usize,
}

impl VariantTask<'_> {
    /// Returns the time of the last step, in nanoseconds.
    fn last_step_at(&self) -> Option<u64> {
        let steps = self.compiled.scenario.steps.iter();
        steps.filter_map(|step| step.moments.last()).max().copied()
    }

    fn folder(&self, root: &Path) -> PathBuf {
        let expectation = &self.task.expectation;
        let file = expectation.file.replace(['/', '.'], "_");
        root.join(file)
            .join(format!("{}-{}", expectation.line, self.variant))
    }

    fn run_live(&self, program: &Path, root: &Path) -> io::Result<Vec<Record>> {
        let folder = self.folder(root);
        std::fs::create_dir_all(&folder)?;
        let mut records = quartzcleat_fakes::run(&self.compiled.scenario, program, &folder)?;
        records.sort_by_key(|record| record.at);
        Ok(records)
    }

    fn compare(&self, program: &Path, root: &Path) -> Comparison {
        let compiled = &self.compiled;
        let simulated =
            quartzcleat_simulation::simulate(&compiled.scenario, &mut FirstOption).records;
        let expectation = &self.task.expectation;
        let mut comparison = Comparison {
            file: expectation.file.to_string(),
            line: expectation.line,
            name: expectation.name.clone(),
            variant: self.variant,
            simulated: Counts::from_records(&simulated),
            live: Counts::default(),
            simulated_failure: describe_failure(compiled, &simulated, 0),
            live_failure: None,
            fault: None,
            timeline: Vec::new(),
        };
        match self.run_live(program, root) {
            Err(error) => comparison.fault = Some(error.to_string()),
            Ok(records) => {
                comparison.live = Counts::from_records(&records);
                comparison.live_failure =
                    describe_failure(compiled, &records, TIME_TOLERANCE_NANOS);
                if !comparison.agrees() {
                    comparison.timeline = timeline::render(&compiled.scenario.processes, &records);
                }
            }
        }
        comparison
    }
}

/// Returns the description of a run's failure; `None` if the expectation held.
fn describe_failure(
    compiled: &CompiledExpectation,
    records: &[Record],
    time_tolerance: u64,
) -> Option<String> {
    let failure = judge(compiled, records, time_tolerance).failure?;
    Some(failure.violation.description)
}

/// Compares all selected expectations, prints the report and returns the exit code.
pub(super) fn run(options: &Options, format: Format, verbose: bool) -> ExitCode {
    let started = Instant::now();
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("quartzcleat: cannot determine the path of the executable: {error}");
            return ExitCode::from(EXIT_NOT_COMPARED);
        }
    };
    let mut faults = Faults::default();
    let tasks = plan(options, &mut faults);
    let variants = plan_variants(&tasks, &mut faults);
    let comparisons = compare_all(&variants, options.jobs, &program);
    let report = report::LiveReport {
        comparisons,
        faults: faults.0.iter().map(ToString::to_string).collect(),
        seconds: started.elapsed().as_secs_f64(),
    };
    super::print(&report.render(format, verbose));
    report.exit_code()
}

/// Returns the variants of all expectations, the longest first, so that the last ones to run are short.
fn plan_variants<'a>(tasks: &'a [CheckTask], faults: &mut Faults) -> Vec<VariantTask<'a>> {
    let mut variants = Vec::new();
    for task in tasks {
        match compile(&task.suite, &task.expectation, &task.deployment) {
            Ok(compiled) => {
                let variant_task = |variant| {
                    let mut compiled = compiled.clone();
                    compiled.scenario.variant = Some(variant);
                    VariantTask {
                        task,
                        compiled,
                        variant,
                    }
                };
                variants.extend((0..count_variants(&compiled)).map(variant_task));
            }
            Err(found) => faults.0.extend(found.0),
        }
    }
    variants.sort_by_key(|variant| Reverse(variant.last_step_at()));
    variants
}

/// Returns the number of variants of a scenario, in `1..=MAX_VARIANTS`.
fn count_variants(compiled: &CompiledExpectation) -> usize {
    let scenario = &compiled.scenario;
    let moments = scenario.steps.iter().map(|step| step.moments.len()).max();
    let options = [
        moments.unwrap_or(1),
        scenario.discovery_delays.len(),
        scenario.attempt_outcomes.len(),
        scenario.counter.call_outcomes.len(),
    ];
    options
        .into_iter()
        .max()
        .unwrap_or(1)
        .clamp(1, MAX_VARIANTS)
}

/// Runs and compares all variants, `jobs` of them concurrently; 0 means [`DEFAULT_JOBS`].
fn compare_all(variants: &[VariantTask<'_>], jobs: usize, program: &Path) -> Vec<Comparison> {
    let folder = run_folder();
    let compare = |variant: &VariantTask<'_>| variant.compare(program, &folder);
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(if jobs == 0 { DEFAULT_JOBS } else { jobs })
        .build();
    let mut comparisons: Vec<Comparison> = match pool {
        Ok(pool) => pool.install(|| variants.par_iter().with_max_len(1).map(compare).collect()),
        // Without a thread pool the comparisons run sequentially, with the same results.
        Err(_) => variants.iter().map(compare).collect(),
    };
    // Best effort: the system cleans up its temporary files.
    let _ = std::fs::remove_dir_all(&folder);
    comparisons.sort_by(|a, b| (&a.file, a.line, a.variant).cmp(&(&b.file, b.line, b.variant)));
    comparisons
}

/// Returns the path of this process's temporary folder.
pub(super) fn run_folder() -> PathBuf {
    std::env::temp_dir().join(format!("quartzcleat-live-{}", std::process::id()))
}
