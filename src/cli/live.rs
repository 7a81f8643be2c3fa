//! `quartzcleat expect --live`: runs each scenario with real limiter processes and fakes on loopback, too, and
//! compares the verdict with that of the simulation. Timing may differ, verdicts may not.

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

/// On sockets the fakes do not know the order of what happens within this time.
pub(super) const TIME_TOLERANCE: u64 = 50_000_000;
/// The most variants of one scenario that are run: one for each option that the scenario leaves open.
const MAX_VARIANTS: usize = 3;
/// Runs mostly wait, so that more of them than there are cores can run concurrently.
const DEFAULT_JOBS: usize = 6;

/// The exit code where verdicts differ.
const EXIT_DIFFERS: u8 = 1;
/// The exit code where nothing could be compared, or not all.
const EXIT_NOT_COMPARED: u8 = 2;

/// Counts of a run.
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

/// One variant of a scenario in the simulation and on sockets. Its serialized form is that of the JSON report.
#[derive(Clone, Debug, Serialize)]
struct Comparison {
    file: String,
    line: u32,
    name: String,
    variant: usize,
    #[serde(rename = "world")]
    simulated: Counts,
    live: Counts,
    /// What fails in the simulation.
    #[serde(rename = "world_fails")]
    simulated_failure: Option<String>,
    /// What fails on sockets.
    #[serde(rename = "live_fails")]
    live_failure: Option<String>,
    /// Why the live run did not come about.
    fault: Option<String>,
    /// The timeline of the live run, where the verdicts differ.
    #[serde(rename = "story")]
    timeline: Vec<String>,
}

impl Comparison {
    fn agrees(&self) -> bool {
        let has_same_verdict = self.simulated_failure.is_some() == self.live_failure.is_some();
        self.fault.is_none() && has_same_verdict
    }
}

/// A variant that is to be compared.
struct VariantTask<'a> {
    task: &'a CheckTask,
    /// The expectation, with the variant set in its scenario.
    compiled: CompiledExpectation,
    variant: usize,
}

impl VariantTask<'_> {
    /// The moment of the last step.
    fn length(&self) -> Option<u64> {
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
            simulated_failure: failure(compiled, &simulated, 0),
            live_failure: None,
            fault: None,
            timeline: Vec::new(),
        };
        match self.run_live(program, root) {
            Err(error) => comparison.fault = Some(error.to_string()),
            Ok(records) => {
                comparison.live = Counts::from_records(&records);
                comparison.live_failure = failure(compiled, &records, TIME_TOLERANCE);
                if !comparison.agrees() {
                    comparison.timeline = timeline::render(&compiled.scenario.processes, &records);
                }
            }
        }
        comparison
    }
}

/// What fails in a run, where something does.
fn failure(
    compiled: &CompiledExpectation,
    records: &[Record],
    time_tolerance: u64,
) -> Option<String> {
    let failure = judge(compiled, records, time_tolerance).failure?;
    Some(failure.violation.description)
}

/// Compares all that options name and prints the report.
pub(super) fn run(options: &Options, format: Format, verbose: bool) -> ExitCode {
    let started = Instant::now();
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("quartzcleat: cannot find its own program: {error}");
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

/// The variants of all expectations, the longest first, so that none is left alone at the end.
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
    variants.sort_by_key(|variant| Reverse(variant.length()));
    variants
}

/// How many variants a scenario has.
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

/// Runs all variants, several concurrently.
fn compare_all(variants: &[VariantTask<'_>], jobs: usize, program: &Path) -> Vec<Comparison> {
    let folder = run_folder();
    let compare = |variant: &VariantTask<'_>| variant.compare(program, &folder);
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(if jobs == 0 { DEFAULT_JOBS } else { jobs })
        .build();
    let mut comparisons: Vec<Comparison> = match pool {
        Ok(pool) => pool.install(|| variants.par_iter().with_max_len(1).map(compare).collect()),
        // Without threads of its own the comparison is slower, not wrong.
        Err(_) => variants.iter().map(compare).collect(),
    };
    // A folder that cannot be removed is left to the system's own cleaning of temporary files.
    let _ = std::fs::remove_dir_all(&folder);
    comparisons.sort_by(|a, b| (&a.file, a.line, a.variant).cmp(&(&b.file, b.line, b.variant)));
    comparisons
}

/// A temporary folder of this process.
pub(super) fn run_folder() -> PathBuf {
    std::env::temp_dir().join(format!("quartzcleat-live-{}", std::process::id()))
}
