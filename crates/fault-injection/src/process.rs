//! A limiter's process in a trial: started, paused, continued, ended and killed; killed at the latest when it is dropped.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// A process ends by itself within this, or is killed.
const ENDS: Duration = Duration::from_secs(10);

/// One limiter's process.
pub struct Process {
    program: PathBuf,
    /// Our own file, the platform's, and where its log goes.
    files: (PathBuf, PathBuf, PathBuf),
    /// What its own file says without what is added at a start.
    text: Option<String>,
    child: Option<Child>,
}

impl Process {
    /// A process that is not started.
    pub fn new(program: &Path, ours: PathBuf, platforms: PathBuf, log: PathBuf) -> Self {
        Process {
            program: program.to_owned(),
            files: (ours, platforms, log),
            text: None,
            child: None,
        }
    }

    /// Starts it, with more lines at the end of its own file.
    ///
    /// # Errors
    /// Where the system does not.
    pub fn start(&mut self, more: &str) -> std::io::Result<()> {
        let (ours, platforms, log) = &self.files;
        let text = self.text.get_or_insert(std::fs::read_to_string(ours)?);
        std::fs::write(ours, format!("{text}{more}"))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let mut command = Command::new(&self.program);
        for name in [
            "BALANCER_NAME",
            "BALANCER_LISTEN",
            "BALANCER_DISCOVERY",
            "BALANCER_COUNTER",
            "BALANCER_CONSOLE",
        ] {
            command.env_remove(name);
        }
        command
            .env("BALANCER_CONFIG", platforms)
            .env("QUARTZCLEAT_CONFIG", ours);
        command
            .kill_on_drop(true)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends a signal, where it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.as_ref().and_then(Child::id) {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Kills it, or asks it to end and waits.
    pub async fn stop(&mut self, asked: bool) {
        if asked {
            self.signal(Signal::SIGTERM);
        }
        if let Some(mut child) = self.child.take() {
            if !asked || timeout(ENDS, child.wait()).await.is_err() {
                let _ = child.kill().await;
            }
        }
    }

    /// CPU time used so far in nanoseconds and the largest resident set in kilobytes, as the kernel tells.
    pub fn usage(&self) -> (u64, u64) {
        let Some(id) = self.child.as_ref().and_then(Child::id) else {
            return (0, 0);
        };
        let read =
            |name: &str| std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default();
        let cpu = read("schedstat")
            .split_whitespace()
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let status = read("status");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or_default();
        (
            cpu,
            peak.split_whitespace()
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
        )
    }
}
