//! What a scenario runs on, and the report of a run.

use crate::link::LinkTraffic;
use crate::scenario::Scenario;
use crate::target::Action;
use crate::trial::Trial;
use crate::verdict::Mark;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike as _;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::LocalSet;

/// What a scenario runs on.
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

/// What was observed in a run.
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

/// Runs a scenario with one seed.
///
/// # Errors
/// Fails where loopback, files or processes fail. What limiters do wrong is in the report instead.
pub fn run(scenario: &Scenario, seed: u64, testbed: &Testbed) -> std::io::Result<RunReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let cpu_before = thread_cpu()?;
    let report = LocalSet::new().block_on(&runtime, async {
        let trial = Trial::start(scenario, seed, testbed).await?;
        Ok::<_, std::io::Error>(trial.run().await)
    })?;
    Ok(RunReport {
        testbed_cpu: thread_cpu()?.saturating_sub(cpu_before),
        ..report
    })
}

/// CPU time of this thread so far.
fn thread_cpu() -> std::io::Result<Duration> {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).map_err(std::io::Error::from)?;
    let cpu = usage.user_time() + usage.system_time();
    Ok(Duration::from_micros(cpu.num_microseconds().unsigned_abs()))
}
