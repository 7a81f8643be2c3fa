//! The sink, with one file for each period in which an exporter holds the lease.
//!
//! An exporter that was paused and resumes after its lease has expired still writes to its own file. That does not
//! change the sums, because a batch counts once even if several files contain it.

use crate::record::{encode_line, parse_batch, verify_line, BatchText};
use crate::{Batch, BatchId, Source, Spool, UsageByCustomer};
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A batch in the sink.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SinkRecord {
    /// The spool that the batch comes from.
    pub source: Source,
    /// The content and sequence number of the batch.
    pub batch: Batch,
}

impl SinkRecord {
    /// Returns the record's line in a file of the sink, with its checksum and line feed.
    pub fn to_line(&self) -> String {
        let Source { name, epoch } = &self.source;
        encode_line(&format!("{name} {epoch} {}", BatchText(&self.batch)))
    }

    fn from_line(line: &str) -> Option<SinkRecord> {
        let mut fields = verify_line(line)?.split(' ');
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
    /// The usage of each batch, by its source and sequence number.
    batches: BTreeMap<Source, BTreeMap<u64, UsageByCustomer>>,
    duplicates: u64,
    corrupt_lines: u64,
    conflicts: Vec<BatchId>,
    /// The usage in spools that is in no batch yet.
    unbatched: UsageByCustomer,
}

/// The usage that a sink contains, and the faults found in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SinkReport {
    /// The sum of usage of each customer.
    pub usage: UsageByCustomer,
    /// The number of times that a batch was found again with the same content; it counts once.
    pub duplicates: u64,
    /// The number of lines that are truncated or corrupt.
    pub corrupt_lines: u64,
    /// The batches that are missing although the sink has a later one of the same source.
    pub missing: Vec<BatchId>,
    /// The batches that were found again with different content; the content added first counts.
    pub conflicts: Vec<BatchId>,
}

impl Sink {
    /// Adds the batches in the text of one file. Counts and skips lines that are truncated or corrupt.
    pub fn add_file(&mut self, text: &str) {
        for line in text.split_inclusive('\n') {
            match line.strip_suffix('\n').and_then(SinkRecord::from_line) {
                Some(record) => self.add(record),
                None => self.corrupt_lines += 1,
            }
        }
    }

    /// Adds a batch. A batch that was added before is not counted again, but as a duplicate or, if its content differs,
    /// as a conflict.
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

    /// Returns whether the sink has the batch of a source with a sequence number.
    pub fn contains(&self, source: &Source, sequence: u64) -> bool {
        self.batches
            .get(source)
            .is_some_and(|batches| batches.contains_key(&sequence))
    }

    /// Adds the usage of ended attempts in a spool that is not in the sink yet.
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

    /// Returns the sum of usage of each customer, and the missing, duplicate and conflicting batches.
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
