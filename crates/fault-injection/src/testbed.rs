//! The environment in which a scenario runs, and the report of a run.

use crate::link::LinkTraffic;
use crate::target::Action;
use crate::verdict::Mark;
use std::path::PathBuf;
use std::time::Duration;

/// The environment in which a scenario runs.
#[derive(Clone, Debug)]
pub struct Testbed {
    /// The limiter's executable.
    pub program: PathBuf,
    /// Another build, which limiters with odd indices run; `None` if all run `program`.
    pub alternate_program: Option<PathBuf>,
    /// A valid configuration in the platform's JSON format. Its listening address is replaced for each limiter.
    pub platform_config: String,
    /// The folder for the limiters' files.
    pub folder: PathBuf,
    /// Whether the target checks fencing tokens. Without the check, a run shows which violations it prevents.
    pub checks_tokens: bool,
}

/// The observations of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The history of actions at the target.
    pub actions: Vec<Action>,
    /// The start and the end of each fault.
    pub marks: Vec<Mark>,
    /// The traffic that reached the links.
    pub traffic: LinkTraffic,
    /// The duration of the run.
    pub duration: Duration,
    /// The total CPU time of the processes that were running at the end.
    pub cpu: Duration,
    /// The largest peak resident set size of these processes, in kilobytes.
    pub peak_kb: u64,
    /// CPU time of the testbed's own thread: relays, target and fault injection.
    pub testbed_cpu: Duration,
}
