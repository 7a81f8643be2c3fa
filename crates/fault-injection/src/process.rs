//! A limiter's process in a run: started, paused, continued, terminated and killed; killed at the latest when it is dropped.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use quartzcleat_fakes::process::{limiter_command, Usage};
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::Child;
use tokio::time::timeout;

/// A terminated process ends by itself within this time, or is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(10);

/// The files of a limiter's process.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    /// The product configuration (YAML).
    pub product_config: PathBuf,
    /// The platform's configuration (JSON).
    pub platform_config: PathBuf,
    /// The log, which all starts append to.
    pub log: PathBuf,
}

impl ProcessFiles {
    /// The files of a limiter in a folder.
    #[must_use]
    pub fn in_folder(folder: &Path, limiter: usize) -> Self {
        ProcessFiles {
            product_config: folder.join(format!("{limiter}.yaml")),
            platform_config: folder.join(format!("{limiter}.json")),
            log: folder.join(format!("{limiter}.log")),
        }
    }
}

/// One limiter's process.
pub struct Process {
    program: PathBuf,
    files: ProcessFiles,
    /// The product configuration without the lines that are added at a start.
    product_config: String,
    child: Option<Child>,
}

impl Process {
    /// A process that is not started yet.
    #[must_use]
    pub fn new(program: &Path, files: ProcessFiles, product_config: String) -> Self {
        Process {
            program: program.to_owned(),
            files,
            product_config,
            child: None,
        }
    }

    /// Starts the process, with additional lines at the end of its product configuration.
    ///
    /// # Errors
    /// Fails where files cannot be written or the program cannot be started.
    pub fn start(&mut self, additional_lines: &str) -> std::io::Result<()> {
        let product_config = format!("{}{additional_lines}", self.product_config);
        std::fs::write(&self.files.product_config, product_config)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.files.log)?;
        let child = limiter_command(&self.program, &self.files.platform_config)
            .env("QUARTZCLEAT_CONFIG", &self.files.product_config)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, where the process runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.as_ref().and_then(Child::id) {
            // A process that has ended in the meantime needs no signal.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already is what is wanted.
            let _ = child.kill().await;
        }
    }

    /// Asks the process to end, and kills it where it does not in time.
    pub async fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
        let ended = match &mut self.child {
            Some(child) => timeout(TERMINATION_TIMEOUT, child.wait()).await.is_ok(),
            None => true,
        };
        if ended {
            self.child = None;
        } else {
            self.kill().await;
        }
    }

    /// What the process has used so far; zero where it does not run.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage::of_child(self.child.as_ref())
    }
}
