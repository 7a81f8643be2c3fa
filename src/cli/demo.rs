//! `quartzcleat demo`: runs limiters and fakes on loopback under a short mixed load with a draining host, a silent
//! counter and a crashed host, and prints a table of the results.

mod table;
#[cfg(test)]
mod tests;

use clap::Args;
use quartzcleat_config::{Deployment, Faults};
use quartzcleat_expectations::evaluation::judge;
use quartzcleat_expectations::{compile, suite, CompiledExpectation};
use quartzcleat_invariants::Record;
use std::io;
use std::path::Path;
use std::process::ExitCode;

const SCENARIO: &str = include_str!("demo.yaml");
const SETTINGS: &str = include_str!("../../deploy/imlil-main.yaml");
const INSTALLATION: &str = include_str!("../../deploy/expectations/installation.yaml");

/// Exit code if an expectation of the demo failed or an invariant was violated.
const EXIT_EXPECTATION_FAILED: u8 = 1;
/// Exit code if the demo could not run.
const EXIT_NOT_RUN: u8 = 2;

/// Start three limiters with fake services on loopback, run a short load and show its events.
///
/// The fakes (discovery, counter, six booking hosts, clients) run in this process; the limiters are child processes of
/// this program. The demo takes about 6 s, needs no other service and removes its files. Exit code 0: every request got
/// exactly one answer, no invariant was violated and the demo's own expectations held.
#[derive(Debug, Args)]
pub struct Demo {}

/// The reason why the demo could not run.
#[derive(Debug, thiserror::Error)]
enum DemoError {
    /// The embedded scenario, settings or installation have faults.
    #[error("{0}")]
    Scenario(Faults),
    /// An I/O operation on a process, a folder or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl Demo {
    /// Runs the demo, prints its report and returns the exit code.
    pub fn run(self) -> ExitCode {
        match run() {
            Ok(demo) => demo.report(),
            Err(error) => {
                eprintln!("quartzcleat: demo: {error}");
                ExitCode::from(EXIT_NOT_RUN)
            }
        }
    }
}

/// The scenario of a completed demo run and its records, in the order of time.
struct CompletedDemo {
    compiled: CompiledExpectation,
    records: Vec<Record>,
}

impl CompletedDemo {
    fn report(&self) -> ExitCode {
        let judgement = judge(
            &self.compiled,
            &self.records,
            super::live::TIME_TOLERANCE_NANOS,
        );
        super::print(&table::render(
            &self.compiled.scenario.processes,
            &self.records,
        ));
        match judgement.failure {
            None => {
                super::print(
                    "Every request got one final answer in time; no invariant was violated.\n",
                );
                ExitCode::SUCCESS
            }
            Some(failure) => {
                let description = failure.violation.description;
                super::print(&format!("Demo failed: {description}\n"));
                ExitCode::from(EXIT_EXPECTATION_FAILED)
            }
        }
    }
}

fn run() -> Result<CompletedDemo, DemoError> {
    let mut compiled = compile_scenario().map_err(DemoError::Scenario)?;
    compiled.scenario.variant = Some(0);
    let folder = super::live::run_folder();
    let records = run_in(&compiled, &folder);
    // Best effort: the system cleans up its temporary files.
    let _ = std::fs::remove_dir_all(&folder);
    let mut records = records?;
    records.sort_by_key(|record| record.at);
    Ok(CompletedDemo { compiled, records })
}

fn run_in(compiled: &CompiledExpectation, folder: &Path) -> io::Result<Vec<Record>> {
    let program = std::env::current_exe()?;
    std::fs::create_dir_all(folder)?;
    quartzcleat_fakes::run(&compiled.scenario, &program, folder)
}

fn compile_scenario() -> Result<CompiledExpectation, Faults> {
    let mut faults = Faults::default();
    let read_file = |path: &Path| match path.to_str() {
        Some("demo.yaml") => Ok(SCENARIO.to_owned()),
        Some(_) => Ok(INSTALLATION.to_owned()),
        None => Err(io::ErrorKind::NotFound.into()),
    };
    let suite = suite::read_with(Path::new("demo.yaml"), &read_file, &mut faults);
    let (Some(suite), true) = (suite, faults.is_empty()) else {
        return Err(faults);
    };
    let deployment = Deployment::read("imlil-main.yaml", SETTINGS)?;
    compile(&suite, &suite.expectations[0], &deployment)
}
