//! Limiter processes as tests and tools start them: an environment without overrides, signals, and resource usage. This
//! module is independent of scenarios and fake services.

use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::process::Child;
use tokio::time::timeout;

pub use nix::sys::signal::Signal;

/// Environment variables that would override the configuration file or open a console.
const OVERRIDING_VARIABLES: [&str; 6] = [
    "BALANCER_NAME",
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_COUNTER",
    "BALANCER_CONSOLE",
    "QUARTZCLEAT_CONFIG",
];
/// How long a process may take to end after SIGTERM before it is killed.
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
    /// Reads the resources that a process has used so far from procfs; zero if it does not run.
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

/// Returns the first word of `text` as a number, or zero if it is not one.
fn first_number(text: &str) -> u64 {
    text.split_whitespace()
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Returns a command that starts a limiter with the platform's configuration, without the environment variables that
/// would override it. Standard input, output and error of the child are the null device.
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
/// Returns an error if no such process exists or the signal is not permitted.
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
    /// The log, to which every start appends.
    log: PathBuf,
}

impl ProcessFiles {
    /// Returns the paths `STEM.json`, `STEM.yaml` and `STEM.log` in a folder.
    #[must_use]
    pub fn in_folder(folder: &Path, stem: &str) -> Self {
        ProcessFiles {
            platform_config: folder.join(format!("{stem}.json")),
            product_config: folder.join(format!("{stem}.yaml")),
            log: folder.join(format!("{stem}.log")),
        }
    }
}

/// The process of one limiter, which can be started again after its end. A running process is killed when this value is
/// dropped.
pub struct LimiterProcess {
    program: PathBuf,
    files: ProcessFiles,
    running: Option<RunningProcess>,
}

impl LimiterProcess {
    /// Creates the value without starting a process.
    #[must_use]
    pub fn new(program: &Path, files: ProcessFiles) -> Self {
        LimiterProcess {
            program: program.to_owned(),
            files,
            running: None,
        }
    }

    /// Starts the process with the platform's configuration file, which must exist, and with a product configuration if
    /// one is given. The log is kept only if it is given.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written or the program cannot be started.
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

    /// Returns whether the process was started and neither ended nor removed through this value since. A process that
    /// exited by itself still counts as running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Removes and returns the running process, so that it can be ended without a borrow of this value. `None` if none
    /// was started.
    pub fn take_running(&mut self) -> Option<RunningProcess> {
        self.running.take()
    }

    /// Sends a signal if the process runs.
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

    /// Sends SIGTERM, and kills the process if it does not end within 10 s.
    pub async fn terminate(&mut self) {
        if let Some(running) = self.take_running() {
            running.terminate().await;
        }
    }

    /// Returns the resources that the process has used so far; zero if it does not run.
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

    /// Kills the process and waits until it has ended.
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
