//! A limiter's process: started with a configuration of its own, and killed at the latest when the harness is dropped.

use crate::process::{limiter_command, Usage};
use std::fs::OpenOptions;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::process::Child;

/// The addresses of a limiter and of the services that it calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: SocketAddr,
}

/// One limiter's process, or what is needed to start it.
pub(crate) struct LimiterProcess {
    program: PathBuf,
    config: PathBuf,
    pub(crate) addresses: Addresses,
    /// How often the process was started.
    pub(crate) starts: usize,
    child: Option<Child>,
}

impl LimiterProcess {
    pub(crate) fn new(program: &Path, config: PathBuf, addresses: Addresses) -> Self {
        LimiterProcess {
            program: program.to_owned(),
            config,
            addresses,
            starts: 0,
            child: None,
        }
    }

    /// Starts the process with the platform's configuration and, where one is given, a product configuration. Only with
    /// the latter is the log kept.
    pub(crate) fn start(
        &mut self,
        config: &serde_json::Value,
        product_config: Option<String>,
    ) -> io::Result<()> {
        self.starts += 1;
        std::fs::write(&self.config, config.to_string())?;
        let mut command = limiter_command(&self.program, &self.config);
        if let Some(text) = product_config {
            let path = self.config.with_extension("yaml");
            std::fs::write(&path, text)?;
            command.env("QUARTZCLEAT_CONFIG", path);
            let log = self.config.with_extension("log");
            command.stderr(OpenOptions::new().create(true).append(true).open(log)?);
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// What the process has used so far; zero where it does not run.
    pub(crate) fn usage(&self) -> Usage {
        Usage::of_child(self.child.as_ref())
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Takes the running process out, so that it can be killed without a borrow of this value.
    pub(crate) fn take_child(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Kills the process, as the loss of its machine would.
    pub(crate) async fn kill(&mut self) {
        kill(self.child.take()).await;
    }
}

/// Kills a process that was taken out.
pub(crate) async fn kill(child: Option<Child>) {
    if let Some(mut child) = child {
        // A process that has ended already is what is wanted.
        let _ = child.kill().await;
    }
}
