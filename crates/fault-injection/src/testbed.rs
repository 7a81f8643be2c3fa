//! The environment in which a scenario runs, and the report of a run.

use crate::link::LinkTraffic;
use crate::target::Action;
use crate::verdict::Mark;
use std::path::PathBuf;
use std::time::Duration;

/// The environment in which a scenario runs.
#[derive(Clone, Debug)]
pub struct Testbed {
    /// The program.
    pub program: PathBuf,
    /// Another build of it, which every other limiter runs.
    pub beside: Option<PathBuf>,
    /// A valid configuration in the platform's form (JSON), whose listening address is replaced.
    pub platform: String,
    /// The folder for the limiters' files.
    pub folder: PathBuf,
    /// Whether the target checks fencing tokens; without, the run shows what the check is for.
    pub checks: bool,
}

/// The observations of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The history of actions at the target.
    pub seen: Vec<Action>,
    /// The begin and the end of each fault.
    pub marks: Vec<Mark>,
    /// The datagrams that reached the links.
    pub traffic: LinkTraffic,
    /// How long the limiters ran.
    pub duration: Duration,
    /// CPU time of all limiters that ran to the end.
    pub cpu: Duration,
    /// The largest peak resident set size of these limiters, in kilobytes.
    pub peak_kb: u64,
    /// CPU time of the testbed's own thread: relays, target and fault injection.
    pub testbed_cpu: Duration,
}
