//! Runs a scenario with one seed, on a single-threaded runtime of its own.

use crate::scenario::Scenario;
use crate::testbed::{RunReport, Testbed};
use crate::trial::Trial;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike as _;
use std::time::Duration;
use tokio::task::LocalSet;

/// Runs a scenario with one seed and returns the observations.
///
/// # Errors
/// Returns an error if a socket, file or process operation fails. Wrong behaviour of limiters is not an error: the
/// report shows it.
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

/// Returns the CPU time that this thread has used so far.
fn thread_cpu() -> std::io::Result<Duration> {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).map_err(std::io::Error::from)?;
    let cpu = usage.user_time() + usage.system_time();
    Ok(Duration::from_micros(cpu.num_microseconds().unsigned_abs()))
}
