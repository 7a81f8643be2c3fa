//! Checks all expectations of some files, for one deployment or several: each is explored and judged, and one
//! that holds is varied to see whether it is vacuous.

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

/// Checks expectations.
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
        // Without threads of its own the check is slower, not wrong.
        Err(_) => tasks.iter().map(check_one).collect(),
    };
    CheckReport {
        results,
        faults: faults.0.iter().map(ToString::to_string).collect(),
        seconds: started.elapsed().as_secs_f64(),
    }
}

/// The deployment with whose verdicts those of the others are compared, where one is named.
fn read_compared_deployment(options: &Options, faults: &mut Faults) -> Option<Deployment> {
    match read_deployment(options.compare_with.as_ref()?) {
        Ok(deployment) => Some(deployment),
        Err(found) => {
            faults.0.extend(found.0);
            None
        }
    }
}
