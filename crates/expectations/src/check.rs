//! The check of expectation files for one or more deployments.
//!
//! Each expectation is explored and judged. One that holds is also explored under variations, to detect vacuous
//! requirements.

mod options;
mod result;
mod single;
mod tasks;
mod timeline;
mod vacuity;
mod variation;

pub use options::{Options, SettingRange};
pub use result::{
    CheckReport, ExpectationResult, ExplorationCounts, FailureReport, Verdict, VerdictDifference,
};
pub use tasks::{plan, read_deployment, CheckTask};

use quartzcleat_config::{Deployment, Faults};
use rayon::iter::{IndexedParallelIterator, IntoParallelRefIterator, ParallelIterator};
use std::time::Instant;

/// Checks all expectations that the options select, in parallel, and returns the report in the order of the files.
#[must_use]
pub fn check(options: &Options) -> CheckReport {
    let started = Instant::now();
    let mut faults = Faults::default();
    let tasks = plan(options, &mut faults);
    let compared = read_compared_deployment(options, &mut faults);
    let check_one = |task: &CheckTask| single::check(task, compared.as_ref(), options);
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(options.jobs)
        .build();
    let results = match pool {
        Ok(pool) => pool.install(|| tasks.par_iter().with_max_len(1).map(check_one).collect()),
        // Without a thread pool the check runs sequentially, with the same results.
        Err(_) => tasks.iter().map(check_one).collect(),
    };
    CheckReport {
        results,
        faults: faults.0.iter().map(ToString::to_string).collect(),
        seconds: started.elapsed().as_secs_f64(),
    }
}

/// Reads the deployment to compare verdicts with. Returns `None` if the options name none or if it has faults.
fn read_compared_deployment(options: &Options, faults: &mut Faults) -> Option<Deployment> {
    match read_deployment(options.compare_with.as_ref()?) {
        Ok(deployment) => Some(deployment),
        Err(found) => {
            faults.0.extend(found.0);
            None
        }
    }
}
