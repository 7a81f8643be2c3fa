//! Memory of a limiter whose clients send requests with short and long bodies, at once and slowly.

mod client;

use crate::error::BenchError;
use clap::Args;
use client::{Answers, Client};
use quartzcleat_test_support::config::replace;
use quartzcleat_test_support::limiter::LimiterSetup;
use quartzcleat_test_support::process::peak_resident_kibibytes;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const MEMORY_MB: [u64; 3] = [32, 64, 192];
const CONNECTIONS: [usize; 2] = [64, 341];
const BODY_KIB: [usize; 2] = [1, 64];
const KIB_PER_MIB: f64 = 1024.0;
/// What the example configuration says of the memory.
const EXAMPLE_MEMORY: &str = "\"memory_mb\": 192";

/// Memory of builds of the limiter, and the answers of their clients, by memory limit, connections, body and speed.
#[derive(Debug, Args)]
pub(crate) struct Memory {
    /// The builds' programs.
    #[arg(required = true)]
    programs: Vec<PathBuf>,
    /// Seconds of load in each run.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
}

/// How a client writes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Speed {
    AtOnce,
    Slowly,
}

/// The load of one run.
#[derive(Clone, Copy, Debug)]
struct Load {
    memory_mb: u64,
    connections: usize,
    body_kib: usize,
    speed: Speed,
}

/// The result of one run.
struct RunResult {
    peak_mib: f64,
    answers: Answers,
}

impl Memory {
    /// Measures each build with each load, one run after another; returns a table.
    ///
    /// # Errors
    /// A program is missing.
    pub(crate) fn run(self) -> Result<String, BenchError> {
        for program in &self.programs {
            std::fs::metadata(program).map_err(BenchError::at(program))?;
        }
        let mut table = "| build | memory_mb | connections | body, KiB | written | peak, MiB | sent | served | rejected | failed | closed |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_owned();
        let duration = Duration::from_secs(self.seconds);
        for load in loads() {
            for (number, program) in (1..).zip(&self.programs) {
                let result = measure(program, load, duration);
                add_row(&mut table, number, load, &result);
            }
        }
        Ok(table)
    }
}

fn loads() -> Vec<Load> {
    let mut loads = Vec::new();
    for memory_mb in MEMORY_MB {
        for connections in CONNECTIONS {
            for body_kib in BODY_KIB {
                for speed in [Speed::AtOnce, Speed::Slowly] {
                    loads.push(Load {
                        memory_mb,
                        connections,
                        body_kib,
                        speed,
                    });
                }
            }
        }
    }
    loads
}

fn measure(program: &Path, load: Load, duration: Duration) -> RunResult {
    let memory = format!("\"memory_mb\": {}", load.memory_mb);
    let limiter = LimiterSetup::new(&program.to_string_lossy(), 1)
        .with_config(move |text| replace(text, EXAMPLE_MEMORY, &memory))
        .start();
    let until = Instant::now() + duration;
    let answers = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..load.connections)
            .map(|number| {
                let client = Client::new(number, load.connections, load);
                let limiter = &limiter;
                scope.spawn(move || client.run(limiter, until))
            })
            .collect();
        let ended = clients.into_iter().filter_map(|client| client.join().ok());
        ended.fold(Answers::default(), Answers::plus)
    });
    RunResult {
        peak_mib: peak_resident_kibibytes(limiter.child.id()) as f64 / KIB_PER_MIB,
        answers,
    }
}

fn add_row(table: &mut String, build: usize, load: Load, result: &RunResult) {
    let Load {
        memory_mb,
        connections,
        body_kib,
        speed,
    } = load;
    let written = match speed {
        Speed::AtOnce => "at once",
        Speed::Slowly => "in 1.9 s",
    };
    let Answers {
        sent,
        served,
        rejected,
        failed,
        closed,
    } = result.answers;
    let peak = result.peak_mib;
    // Writing to a string cannot fail.
    let _ = writeln!(
        table,
        "| {build} | {memory_mb} | {connections} | {body_kib} | {written} | {peak:.1} | {sent} | {served} | {rejected} | {failed} | {closed} |"
    );
}
