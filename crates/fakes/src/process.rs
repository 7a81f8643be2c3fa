//! Processes of the limiter as tests and tools start them: an environment without overrides, signals, and the resources
//! used. It knows neither scenarios nor fake services.

use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::process::Child;
use tokio::time::timeout;

pub use nix::sys::signal::Signal;

/// Variables that would override a configuration file or open a console.
const OVERRIDING_VARIABLES: [&str; 6] = [
    "BALANCER_NAME",
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_COUNTER",
    "BALANCER_CONSOLE",
    "QUARTZCLEAT_CONFIG",
];
/// A terminated process ends by itself within this time, or is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU time in nanoseconds.
    pub cpu_ns: u64,
    /// Peak resident set size in kilobytes.
    pub peak_kb: u64,
}

impl Usage {
    /// The resources that a process has used so far, from procfs; zero where it does not run.
    fn of_process(id: u32) -> Usage {
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
/// would override it. The child has neither input nor output.
pub fn limiter_command(program: &Path, platform_config: &Path) -> Command {
    let mut command = Command::new(program);
    for name in OVERRIDING_VARIABLES {
        command.env_remove(name);
    }
    command
        .env("BALANCER_CONFIG", platform_config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command
}

/// Sends a signal to a process.
///
/// # Errors
/// Fails where no such process runs.
pub fn send_signal(process_id: u32, signal: Signal) -> io::Result<()> {
    nix::sys::signal::kill(Pid::from_raw(process_id as i32), signal)?;
    Ok(())
}

/// The files of a limiter's process.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    /// The platform's configuration (JSON).
    pub platform_config: PathBuf,
    /// The product configuration (YAML).
    product_config: PathBuf,
    /// The log, which all starts append to.
    log: PathBuf,
}

impl ProcessFiles {
    /// Files in a folder that differ in their extensions only.
    #[must_use]
    pub fn in_folder(folder: &Path, stem: &str) -> Self {
        ProcessFiles {
            platform_config: folder.join(format!("{stem}.json")),
            product_config: folder.join(format!("{stem}.yaml")),
            log: folder.join(format!("{stem}.log")),
        }
    }
}

/// The process of one limiter, which may be started again after its end. It is killed at the latest when this value is
/// dropped.
pub struct LimiterProcess {
    program: PathBuf,
    files: ProcessFiles,
    running: Option<RunningProcess>,
}

impl LimiterProcess {
    /// A process that is not started yet.
    #[must_use]
    pub fn new(program: &Path, files: ProcessFiles) -> Self {
        LimiterProcess {
            program: program.to_owned(),
            files,
            running: None,
        }
    }

    /// Starts the process with the platform's configuration as it is in its file and, where one is given, a product
    /// configuration. Only with the latter is the log kept.
    ///
    /// # Errors
    /// Fails where files cannot be written or the program cannot be started.
    pub fn start(&mut self, product_config: Option<&str>) -> io::Result<()> {
        let mut command = limiter_command(&self.program, &self.files.platform_config);
        if let Some(text) = product_config {
            std::fs::write(&self.files.product_config, text)?;
            let log = OpenOptions::new()
                .create(true)
                .append(true)
                .open(&self.files.log)?;
            command
                .env("QUARTZCLEAT_CONFIG", &self.files.product_config)
                .stderr(log);
        }
        let child = tokio::process::Command::from(command)
            .kill_on_drop(true)
            .spawn()?;
        self.running = Some(RunningProcess(child));
        Ok(())
    }

    /// Whether the process was started and not taken out or ended since.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Takes the running process out, so that it can be ended without a borrow of this value.
    pub fn take_running(&mut self) -> Option<RunningProcess> {
        self.running.take()
    }

    /// Sends a signal, where the process runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(running) = &self.running {
            running.signal(signal);
        }
    }

    /// Kills the process, as the loss of its machine would.
    pub async fn kill(&mut self) {
        if let Some(running) = self.take_running() {
            running.kill().await;
        }
    }

    /// Asks the process to end, and kills it where it does not in time.
    pub async fn terminate(&mut self) {
        if let Some(running) = self.take_running() {
            running.terminate().await;
        }
    }

    /// The resources that the process has used so far; zero where it does not run.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let id = self.running.as_ref().and_then(|running| running.0.id());
        id.map_or_else(Usage::default, Usage::of_process)
    }
}

/// A started process, killed when it is dropped.
pub struct RunningProcess(Child);

impl RunningProcess {
    fn signal(&self, signal: Signal) {
        if let Some(id) = self.0.id() {
            // A process that has ended in the meantime needs no signal.
            let _ = send_signal(id, signal);
        }
    }

    /// Kills the process.
    pub async fn kill(mut self) {
        // A process that has ended already needs no signal.
        let _ = self.0.kill().await;
    }

    async fn terminate(mut self) {
        self.signal(Signal::SIGTERM);
        if timeout(TERMINATION_TIMEOUT, self.0.wait()).await.is_err() {
            self.kill().await;
        }
    }
}
