//! `deployments`: whole deployments generated from seeds, simulated and compared with a baseline that knows the global
//! state.

mod baseline;
mod generate;
mod judge;
mod quota;
mod report;

use crate::error::BenchError;
use crate::seeds::SeedRange;
use clap::Args;
use judge::{judge, DeploymentResult};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Jobs where the number of cores is unknown.
const DEFAULT_JOBS: usize = 4;

/// Generate deployments, simulate each, and rank those that stay furthest below the baseline.
///
/// Rates, plans, classes, deadlines, sizes, zones, the counter and incidents are generated over ranges far wider than those
/// of the known deployments. The served value is compared with one queue that has exact quotas and knows every host.
#[derive(Debug, Args)]
pub(crate) struct Deployments {
    /// Seeds, the last one included.
    #[arg(long, default_value = "1..200")]
    seeds: SeedRange,
    /// Deployments simulated at the same time; 0 for one a core.
    #[arg(long, default_value_t = 0)]
    jobs: usize,
    /// How many of the worst are shown.
    #[arg(long, default_value_t = 20)]
    worst: usize,
}

impl Deployments {
    /// Simulates all deployments; returns a report.
    ///
    /// # Errors
    /// Fails where a simulation panics.
    pub(crate) fn run(self) -> Result<String, BenchError> {
        let next = AtomicU64::new(self.seeds.first);
        let results: Mutex<Vec<DeploymentResult>> = Mutex::default();
        std::thread::scope(|scope| {
            for _ in 0..self.worker_count() {
                scope.spawn(|| self.work(&next, &results));
            }
        });
        let mut results = results
            .into_inner()
            .map_err(|_| BenchError::WorkerPanicked)?;
        results.sort_by(|a, b| {
            let by_value = a.value.served.total_cmp(&b.value.served);
            by_value.then(a.seed.cmp(&b.seed))
        });
        report::report(&results, self.worst)
    }

    fn worker_count(&self) -> usize {
        if self.jobs > 0 {
            return self.jobs;
        }
        std::thread::available_parallelism().map_or(DEFAULT_JOBS, usize::from)
    }

    /// Judges one deployment after another until none is left.
    fn work(&self, next: &AtomicU64, results: &Mutex<Vec<DeploymentResult>>) {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > self.seeds.last {
                return;
            }
            let result = judge(seed);
            // Another worker has panicked; the command fails with that.
            let Ok(mut results) = results.lock() else {
                return;
            };
            results.push(result);
        }
    }
}
