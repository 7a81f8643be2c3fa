//! A limiter's process: started with a configuration of its own, killed at the latest when the stage is gone.

use crate::stage::Usage;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

/// One limiter's process, or what is needed to start it.
pub(crate) struct Process {
    program: PathBuf,
    config: PathBuf,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: SocketAddr,
    /// How often it was started.
    pub(crate) starts: usize,
    child: Option<Child>,
}

impl Process {
    pub(crate) fn new(
        program: &Path,
        config: PathBuf,
        listen: SocketAddr,
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        Process {
            program: program.to_owned(),
            config,
            listen,
            discovery,
            counter,
            starts: 0,
            child: None,
        }
    }

    pub(crate) fn start(
        &mut self,
        config: &serde_json::Value,
        ours: Option<String>,
    ) -> io::Result<()> {
        self.starts += 1;
        std::fs::write(&self.config, config.to_string())?;
        let mut command = Command::new(&self.program);
        for name in [
            "BALANCER_NAME",
            "BALANCER_LISTEN",
            "BALANCER_DISCOVERY",
            "BALANCER_COUNTER",
            "QUARTZCLEAT_CONFIG",
        ] {
            command.env_remove(name);
        }
        command
            .env("BALANCER_CONFIG", &self.config)
            .kill_on_drop(true)
            .stdin(Stdio::null())
            .stderr(Stdio::null());
        if let Some(ours) = ours {
            let file = self.config.with_extension("yaml");
            std::fs::write(&file, ours)?;
            command.env("QUARTZCLEAT_CONFIG", file);
            let log = self.config.with_extension("log");
            command.stderr(
                std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(log)?,
            );
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// What the process used so far, as the kernel tells.
    pub(crate) fn usage(&self) -> Usage {
        let Some(id) = self.child.as_ref().and_then(Child::id) else {
            return Usage::default();
        };
        let read =
            |name: &str| std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default();
        let cpu_ns = read("schedstat")
            .split_whitespace()
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let status = read("status");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or_default();
        let peak_kb = peak
            .split_whitespace()
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        Usage { cpu_ns, peak_kb }
    }

    pub(crate) fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// The process itself, leaving what is needed to start another.
    pub(crate) fn take(&mut self) -> Process {
        let child = self.child.take();
        let (program, config) = (self.program.clone(), self.config.clone());
        Process {
            program,
            config,
            listen: self.listen,
            discovery: self.discovery,
            counter: self.counter,
            starts: self.starts,
            child,
        }
    }

    /// Kills the process, as a machine that is lost would.
    pub(crate) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }
}
