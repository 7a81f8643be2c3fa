//! The command line: the only place where errors become text and exit codes.
//!
//! Without a command the program serves, which is how the platform starts it.

pub mod check;
pub mod demo;
pub mod expect;
pub mod live;
pub mod serve;
pub mod usage;

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

#[cfg(test)]
mod tests;

/// A quota-keeping request limiter. Without a command it serves.
///
/// Serving reads the platform's JSON from the file that BALANCER_CONFIG names; BALANCER_NAME, BALANCER_LISTEN,
/// BALANCER_DISCOVERY and BALANCER_COUNTER override its values. Settings that the platform does not have come from the
/// product configuration, a YAML file named by --config or QUARTZCLEAT_CONFIG; without it, defaults apply.
///
/// The exit code of checking commands is 0 if everything holds, 1 if something does not, and 2 if that cannot be
/// determined.
#[derive(Debug, Parser)]
#[expect(
    clippy::doc_markdown,
    reason = "the comments are the text of --help, where backticks would be shown"
)]
#[command(version, about, long_about)]
pub struct Cli {
    /// The product configuration, such as deploy/quartzcleat.yaml.
    #[arg(long, global = true, value_name = "FILE", env = "QUARTZCLEAT_CONFIG")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// The subcommands. The doc comment of each argument type is the help text of its command.
#[derive(Debug, Subcommand)]
enum Command {
    /// Serve, as without a command.
    Serve,
    Check(check::Check),
    Expect(Box<expect::Expect>),
    Demo(demo::Demo),
    #[command(alias = "use")]
    Usage(usage::Usage),
}

/// The output format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Plain text.
    #[default]
    Human,
    /// JSON.
    Json,
    /// JUnit XML for build servers.
    Junit,
}

impl Cli {
    /// Runs the selected command and returns its exit code.
    pub fn run(self) -> ExitCode {
        match self.command {
            None | Some(Command::Serve) => serve::run(self.config.as_deref()),
            Some(Command::Check(check)) => check.run(self.config.as_deref()),
            Some(Command::Expect(expect)) => expect.run(),
            Some(Command::Demo(demo)) => demo.run(),
            Some(Command::Usage(usage)) => usage.run(),
        }
    }
}

/// Writes a report to standard output.
pub(crate) fn print(text: &str) {
    use std::io::Write as _;
    // The exit code does not depend on whether the reader has closed the pipe.
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}
