//! Processes of the limiter as tests and tools start them: an environment without overrides, and the resources used.

use std::path::Path;
use std::process::Stdio;
use tokio::process::{Child, Command};

/// Variables that would override a configuration file or open a console.
const OVERRIDING_VARIABLES: [&str; 6] = [
    "BALANCER_NAME",
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_COUNTER",
    "BALANCER_CONSOLE",
    "QUARTZCLEAT_CONFIG",
];

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU time in nanoseconds.
    pub cpu_ns: u64,
    /// Peak resident set size in kilobytes.
    pub peak_kb: u64,
}

impl Usage {
    /// What a child process has used so far, from procfs; zero where it does not run.
    #[must_use]
    pub fn of_child(child: Option<&Child>) -> Usage {
        let Some(id) = child.and_then(Child::id) else {
            return Usage::default();
        };
        let read =
            |name: &str| std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default();
        let status = read("status");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or_default();
        Usage {
            cpu_ns: first_number(&read("schedstat")),
            peak_kb: first_number(peak),
        }
    }
}

fn first_number(text: &str) -> u64 {
    text.split_whitespace()
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// A command that starts a limiter with the platform's configuration and nothing from this process's environment that
/// would override it. The child is killed when it is dropped; it has neither input nor a visible log.
pub fn limiter_command(program: &Path, platform_config: &Path) -> Command {
    let mut command = Command::new(program);
    for name in OVERRIDING_VARIABLES {
        command.env_remove(name);
    }
    command
        .env("BALANCER_CONFIG", platform_config)
        .kill_on_drop(true)
        .stdin(Stdio::null())
        .stderr(Stdio::null());
    command
}
