//! The program `quartzcleat`: a limiter when it is started without arguments, and the commands of operators.

use clap::Parser;
use quartzcleat::cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    Cli::parse().run()
}
