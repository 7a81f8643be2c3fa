//! Runs the seeds of a series, several at the same time.

use super::rows::StoredRows;
use crate::error::BenchError;
use crate::seeds::SeedRange;
use quartzcleat_fault_injection::{run, Row, Scenario, Testbed};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// A series of runs of one scenario.
pub(super) struct Series<'a, MakeTestbed> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The seeds.
    pub seeds: SeedRange,
    /// Runs at the same time.
    pub jobs: usize,
    /// Makes the testbed whose files are in a folder of a name.
    pub testbed: &'a MakeTestbed,
}

/// The results that the workers have collected.
struct Collected {
    stored: StoredRows,
    errors: Vec<BenchError>,
}

impl<MakeTestbed: Fn(&str) -> Testbed + Sync> Series<'_, MakeTestbed> {
    /// Runs all seeds that have no stored row; returns the rows of all seeds in their order.
    ///
    /// # Errors
    /// Returns the first error of a run or of its storage, after all runs.
    pub(super) fn run(&self, stored: StoredRows) -> Result<Vec<Row>, BenchError> {
        let done: BTreeSet<u64> = stored.rows.iter().map(|row| row.seed).collect();
        let next = AtomicU64::new(self.seeds.first);
        let collected = Mutex::new(Collected {
            stored,
            errors: Vec::new(),
        });
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| self.work(&next, &done, &collected));
            }
        });
        eprintln!();
        let collected = collected
            .into_inner()
            .map_err(|_| BenchError::WorkerPanicked)?;
        if let Some(error) = collected.errors.into_iter().next() {
            return Err(error);
        }
        let mut rows = collected.stored.rows;
        rows.retain(|row| self.seeds.contains(row.seed));
        rows.sort_by_key(|row| row.seed);
        Ok(rows)
    }

    /// Runs one seed after another until none is left.
    fn work(&self, next: &AtomicU64, done: &BTreeSet<u64>, collected: &Mutex<Collected>) {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > self.seeds.last {
                return;
            }
            if done.contains(&seed) {
                continue;
            }
            let result = self.run_seed(seed);
            // Another worker has panicked; the series fails with that.
            let Ok(mut collected) = collected.lock() else {
                return;
            };
            collected.add(result);
            eprint!(
                "\r{} of {}",
                collected.stored.rows.len(),
                self.seeds.count()
            );
        }
    }

    /// Runs a seed; its files are removed where it could be carried out.
    fn run_seed(&self, seed: u64) -> Result<Row, BenchError> {
        let testbed = (self.testbed)(&seed.to_string());
        let report = run(self.scenario, seed, &testbed)
            .map_err(|source| BenchError::Run { seed, source })?;
        // Files that stay behind do not concern the result.
        let _ = std::fs::remove_dir_all(&testbed.folder);
        Ok(Row::of(self.scenario, seed, &report))
    }
}

impl Collected {
    fn add(&mut self, result: Result<Row, BenchError>) {
        let row = match result {
            Ok(row) => row,
            Err(error) => return self.errors.push(error),
        };
        if let Some(file) = &mut self.stored.file {
            if let Err(error) = file.append(&row) {
                self.errors.push(error);
            }
        }
        self.stored.rows.push(row);
    }
}
