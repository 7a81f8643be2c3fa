//! The sink: one file for each tenure of an exporter.
//!
//! An exporter that was paused and continues after its lease has expired still writes to its own file. That is harmless,
//! as a batch counts once even if several files contain it.

use crate::record::{open_line, parse_batch, seal_line, BatchText};
use crate::{Batch, BatchId, Source, Spool, UsageByCustomer};
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A batch in the sink.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SinkRecord {
    /// The spool that it comes from.
    pub source: Source,
    /// The batch.
    pub batch: Batch,
}

impl SinkRecord {
    /// The record's line in a file of the sink.
    pub fn to_line(&self) -> String {
        let Source { name, epoch } = &self.source;
        seal_line(&format!("{name} {epoch} {}", BatchText(&self.batch)))
    }

    fn from_line(line: &str) -> Option<SinkRecord> {
        let mut fields = open_line(line)?.split(' ');
        let source = Source {
            name: fields.next()?.to_owned(),
            epoch: fields.next()?.parse().ok()?,
        };
        Some(SinkRecord {
            source,
            batch: parse_batch(fields)?,
        })
    }
}

/// The content of all files of a sink.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sink {
    batches: BTreeMap<Source, BTreeMap<u64, UsageByCustomer>>,
    duplicates: u64,
    corrupt_lines: u64,
    conflicts: Vec<BatchId>,
    /// Usage that spools hold outside batches.
    unbatched: UsageByCustomer,
}

/// The sums of a sink, and its faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SinkReport {
    /// Usage by customer.
    pub usage: UsageByCustomer,
    /// Batches that were found again with the same content; each counts once.
    pub duplicates: u64,
    /// Lines that are truncated or corrupt.
    pub corrupt_lines: u64,
    /// Batches that are missing before a later one of the same source.
    pub missing: Vec<BatchId>,
    /// Batches that were found again with another content; the content read first counts.
    pub conflicts: Vec<BatchId>,
}

impl Sink {
    /// Adds the text of one file. Lines that are truncated or corrupt are counted and skipped.
    pub fn add_file(&mut self, text: &str) {
        for line in text.split_inclusive('\n') {
            match line.strip_suffix('\n').and_then(SinkRecord::from_line) {
                Some(record) => self.add(record),
                None => self.corrupt_lines += 1,
            }
        }
    }

    /// Adds a batch.
    pub fn add(&mut self, record: SinkRecord) {
        let SinkRecord { source, batch } = record;
        let batches = self.batches.entry(source.clone()).or_default();
        match batches.entry(batch.sequence) {
            Entry::Vacant(entry) => {
                entry.insert(batch.usage);
            }
            Entry::Occupied(entry) if *entry.get() == batch.usage => self.duplicates += 1,
            Entry::Occupied(_) => self.conflicts.push(BatchId {
                source,
                sequence: batch.sequence,
            }),
        }
    }

    /// Whether the sink has a source's batch.
    pub fn contains(&self, source: &Source, sequence: u64) -> bool {
        self.batches
            .get(source)
            .is_some_and(|batches| batches.contains_key(&sequence))
    }

    /// Adds the usage that is in a spool and not yet in the sink.
    pub fn add_spool(&mut self, spool: &Spool) {
        for batch in spool.pending_batches() {
            if !self.contains(spool.source(), batch.sequence) {
                self.add(SinkRecord {
                    source: spool.source().clone(),
                    batch: batch.clone(),
                });
            }
        }
        for (customer, usage) in spool.unbatched() {
            self.unbatched.entry(*customer).or_default().add(*usage);
        }
    }

    /// Sums up the usage and lists batches that are missing or in conflict.
    pub fn report(&self) -> SinkReport {
        let mut report = SinkReport {
            usage: self.unbatched.clone(),
            duplicates: self.duplicates,
            corrupt_lines: self.corrupt_lines,
            missing: Vec::new(),
            conflicts: self.conflicts.clone(),
        };
        for (source, batches) in &self.batches {
            report.missing.extend(missing_batches(source, batches));
            for (customer, usage) in batches.values().flatten() {
                report.usage.entry(*customer).or_default().add(*usage);
            }
        }
        report
    }
}

fn missing_batches<'a>(
    source: &'a Source,
    batches: &'a BTreeMap<u64, UsageByCustomer>,
) -> impl Iterator<Item = BatchId> + 'a {
    let last = batches.keys().next_back().copied().unwrap_or(0);
    (1..=last)
        .filter(|sequence| !batches.contains_key(sequence))
        .map(|sequence| BatchId {
            source: source.clone(),
            sequence,
        })
}
