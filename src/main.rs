//! The `quartzcleat` program: runs a limiter without arguments, and the operators' commands otherwise.

use clap::Parser;
use quartzcleat::cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    Cli::parse().run()
}
