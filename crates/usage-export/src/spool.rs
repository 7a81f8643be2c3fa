//! The spool in which a limiter records usage until it is exported.
//!
//! The spool records an attempt's expected usage before the attempt is sent, and its actual usage when it has ended. A
//! process that is killed therefore leaves a record of every attempt that it may have sent. Recovery counts attempts
//! without a recorded end as uncertain.

use crate::{to_milliunits, Batch, Customer, Source, Usage, UsageByCustomer};
use line::{Header, Line};
use std::collections::{BTreeMap, VecDeque};

mod line;
mod recovery;
#[cfg(test)]
mod tests;

pub use recovery::{RecoveredSpool, SpoolError};

/// The maximum number of customers in one batch, which fits into a datagram even with numbers of maximum length.
const MAX_BATCH_CUSTOMERS: usize = 16;

/// The minimum number of lines of a file that is compacted.
const MIN_COMPACTION_LINES: usize = 4_096;

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A host has executed the attempt, which used this many units.
    Executed(f64),
    /// No host has executed the attempt.
    NotExecuted,
    /// A host may have executed the attempt.
    Unknown,
}

/// An attempt whose start was recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    /// The number of the attempt in the spool, starting at 1.
    pub attempt: u64,
    /// The line to be appended to the spool's file before the attempt is sent.
    pub line: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenAttempt {
    customer: Customer,
    /// The expected usage in thousandths of a unit.
    milliunits: u64,
}

/// The spool of one process. The caller appends each line that a method returns to the spool's file before it acts on
/// the recorded event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spool {
    source: Source,
    open_attempts: BTreeMap<u64, OpenAttempt>,
    next_attempt: u64,
    /// The usage of ended attempts that is in no batch yet.
    unbatched: UsageByCustomer,
    pending_batches: VecDeque<Batch>,
    next_sequence: u64,
    line_count: usize,
}

impl Spool {
    /// Creates an empty spool, whose file begins with [`Spool::header`].
    pub fn new(source: Source) -> Spool {
        Spool {
            source,
            open_attempts: BTreeMap::new(),
            next_attempt: 1,
            unbatched: UsageByCustomer::new(),
            pending_batches: VecDeque::new(),
            next_sequence: 1,
            line_count: 1,
        }
    }

    /// Returns the identity of this spool, which its batches carry as their source.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Returns the first line of a new spool's file.
    pub fn header(&self) -> String {
        let header = Header {
            source: self.source.clone(),
            next_sequence: self.next_sequence,
        };
        header.to_line()
    }

    /// Records an attempt that is about to be sent, with its expected usage in units.
    pub fn start_attempt(&mut self, customer: Customer, units: f64) -> StartedAttempt {
        let attempt = self.next_attempt;
        let milliunits = to_milliunits(units);
        self.next_attempt += 1;
        self.open_attempts.insert(
            attempt,
            OpenAttempt {
                customer,
                milliunits,
            },
        );
        let line = self.encode_line(&Line::AttemptStarted {
            attempt,
            customer,
            milliunits,
        });
        StartedAttempt { attempt, line }
    }

    /// Records the outcome of an attempt and returns the line, or `None` if the attempt is not open.
    pub fn end_attempt(&mut self, attempt: u64, outcome: AttemptOutcome) -> Option<String> {
        let open = self.open_attempts.remove(&attempt)?;
        let usage = match outcome {
            AttemptOutcome::Executed(units) => Usage {
                executed_milliunits: to_milliunits(units),
                executed_attempts: 1,
                ..Usage::default()
            },
            AttemptOutcome::Unknown => Usage {
                uncertain_milliunits: open.milliunits,
                ..Usage::default()
            },
            AttemptOutcome::NotExecuted => Usage::default(),
        };
        if usage != Usage::default() {
            self.add_unbatched(open.customer, usage);
        }
        Some(self.encode_line(&Line::AttemptEnded { attempt, usage }))
    }

    /// Moves the usage of ended attempts of up to 16 customers into a new batch and returns its line, or `None` if
    /// there is no such usage.
    pub fn cut_batch(&mut self) -> Option<String> {
        let customers: Vec<Customer> = self
            .unbatched
            .keys()
            .copied()
            .take(MAX_BATCH_CUSTOMERS)
            .collect();
        if customers.is_empty() {
            return None;
        }
        let usage = customers
            .iter()
            .filter_map(|customer| self.unbatched.remove_entry(customer))
            .collect();
        let batch = Batch {
            sequence: self.next_sequence,
            usage,
        };
        self.next_sequence += 1;
        self.pending_batches.push_back(batch.clone());
        Some(self.encode_line(&Line::BatchCut(batch)))
    }

    /// Returns the batches that are not known to be in the sink, in the order of their sequence numbers.
    pub fn pending_batches(&self) -> impl Iterator<Item = &Batch> {
        self.pending_batches.iter()
    }

    /// Returns the usage of ended attempts that is in no batch yet.
    pub fn unbatched(&self) -> &UsageByCustomer {
        &self.unbatched
    }

    /// Returns whether no attempt is open and all usage is known to be in the sink.
    pub fn is_empty(&self) -> bool {
        self.open_attempts.is_empty()
            && self.unbatched.is_empty()
            && self.pending_batches.is_empty()
    }

    /// Records that the sink has the batches up to a sequence number and returns the line, or `None` if none of them
    /// was pending.
    pub fn acknowledge(&mut self, sequence: u64) -> Option<String> {
        let pending = self.pending_batches.len();
        self.remove_batches_up_to(sequence);
        (self.pending_batches.len() < pending)
            .then(|| self.encode_line(&Line::Exported { sequence }))
    }

    /// Returns the text of a shorter file with the same content, which replaces the spool's file. Returns `None` if the
    /// file has fewer than 4,096 lines, or if more than half of its lines are still needed.
    pub fn compact(&mut self) -> Option<String> {
        let needed_lines =
            1 + self.open_attempts.len() + self.unbatched.len() + self.pending_batches.len();
        if self.line_count < MIN_COMPACTION_LINES || self.line_count < 2 * needed_lines {
            return None;
        }
        self.line_count = needed_lines;
        Some(self.compacted_text())
    }

    fn compacted_text(&self) -> String {
        let first_batch = self.pending_batches.front();
        let header = Header {
            source: self.source.clone(),
            next_sequence: first_batch.map_or(self.next_sequence, |batch| batch.sequence),
        };
        let mut text = header.to_line();
        for batch in &self.pending_batches {
            text += &Line::BatchCut(batch.clone()).to_line();
        }
        for (&customer, &usage) in &self.unbatched {
            text += &Line::Unbatched { customer, usage }.to_line();
        }
        for (&attempt, open) in &self.open_attempts {
            let line = Line::AttemptStarted {
                attempt,
                customer: open.customer,
                milliunits: open.milliunits,
            };
            text += &line.to_line();
        }
        text
    }

    fn add_unbatched(&mut self, customer: Customer, usage: Usage) {
        self.unbatched.entry(customer).or_default().add(usage);
    }

    fn remove_batches_up_to(&mut self, sequence: u64) {
        while self
            .pending_batches
            .front()
            .is_some_and(|batch| batch.sequence <= sequence)
        {
            self.pending_batches.pop_front();
        }
    }

    /// Encodes a line that the caller appends to the file, and counts it.
    fn encode_line(&mut self, line: &Line) -> String {
        self.line_count += 1;
        line.to_line()
    }
}
