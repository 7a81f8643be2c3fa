//! `quartzcleat-bench`: each figure in the docs is made by one of these commands, which stands beside it there.

mod damage;
mod deployments;
mod module;
mod pair;
mod speed;
mod trial;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Load, experiments and measurements round the limiter.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Lab {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// CPU a request, memory and start of two builds of the limiter, in pairs.
    Pair(pair::Pair),
    /// Seeded damage to a day's settings: which expectation catches it, and whether the line is named.
    Damage(damage::Damage),
    /// Seeded damage to the decision module, built from patched copies: which expectation catches it.
    Module(module::Module),
    /// Time of a run of expectations against cores and their number.
    Speed(speed::Speed),
    /// A story played with many seeds before real processes, with faults between them.
    Trial(trial::Trial),
    /// Whole deployments drawn from seeds, played in the world and held against full sight.
    Deployments(deployments::Deployments),
}

fn main() -> ExitCode {
    let told = match Lab::parse().command {
        Command::Pair(pair) => pair.run(),
        Command::Damage(damage) => damage.run(),
        Command::Module(module) => module.run(),
        Command::Speed(speed) => speed.run(),
        Command::Trial(trial) => trial.run(),
        Command::Deployments(deployments) => deployments.run(),
    };
    match told {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(problem) => {
            eprintln!("quartzcleat-bench: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// The least, the median and the greatest of some figures.
fn spread(mut figures: Vec<f64>) -> (f64, f64, f64) {
    figures.sort_by(f64::total_cmp);
    let at = |part: usize| figures.get(part).copied().unwrap_or(f64::NAN);
    (
        at(0),
        at(figures.len() / 2),
        at(figures.len().saturating_sub(1)),
    )
}
