//! `quartzcleat-bench`: each figure in the docs comes from a command of this program, which stands beside the figure.

mod damage;
mod deployments;
mod error;
mod memory;
mod module;
mod pair;
mod seeds;
mod speed;
mod spread;
mod trial;

use clap::{Parser, Subcommand};
use error::BenchError;
use std::process::ExitCode;

/// Load, experiments and measurements round the limiter.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Bench {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// CPU a request, memory and start of two builds of the limiter, in pairs.
    Pair(pair::Pair),
    /// Memory of builds of the limiter under short and long requests, written at once and slowly.
    Memory(memory::Memory),
    /// Seeded damage to a day's settings: which expectation catches it, and whether the line is named.
    Damage(damage::Damage),
    /// Seeded damage to the decision module, built from patched copies: which expectation catches it.
    Module(module::Module),
    /// Time of a run of expectations against cores and their number.
    Speed(speed::Speed),
    /// A scenario run with many seeds on real processes, with faults between them.
    Trial(trial::Trial),
    /// Whole deployments generated from seeds, simulated and compared with a baseline that knows the global state.
    Deployments(deployments::Deployments),
}

impl Command {
    fn run(self) -> Result<String, BenchError> {
        match self {
            Command::Pair(pair) => pair.run(),
            Command::Memory(memory) => memory.run(),
            Command::Damage(damage) => damage.run(),
            Command::Module(module) => module.run().map_err(BenchError::Module),
            Command::Speed(speed) => Ok(speed.run()),
            Command::Trial(trial) => trial.run(),
            Command::Deployments(deployments) => deployments.run(),
        }
    }
}

fn main() -> ExitCode {
    match Bench::parse().command.run() {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("quartzcleat-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
