//! The program: one real limiter, which is what it is without arguments, and the commands of operators beside it.

use clap::Parser;
use quartzcleat::cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    Cli::parse().run()
}
