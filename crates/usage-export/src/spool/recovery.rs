//! Recovery of a spool from the file that an ended process has left behind.

use super::line::{Header, Line};
use super::{AttemptOutcome, OpenAttempt, Spool};
use crate::Batch;
use thiserror::Error;

/// A spool that was read from its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredSpool {
    /// The spool.
    pub spool: Spool,
    /// Lines that are truncated or corrupt.
    pub corrupt_lines: usize,
    /// Attempts without an end, which count as uncertain from now on.
    pub unfinished_attempts: usize,
    /// Lines to be appended before any other. They end the unfinished attempts, which would otherwise be counted again
    /// at the next recovery.
    pub lines: String,
}

/// Why a file is not a spool of this limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SpoolError {
    /// The first line is not the header of a spool.
    #[error("the first line is not the header of a spool")]
    InvalidHeader,
    /// The spool belongs to another limiter.
    #[error("the spool belongs to another limiter")]
    OtherSource,
}

impl Spool {
    /// Reads the file of a spool that a process of this limiter has left behind.
    ///
    /// # Errors
    /// Where the header is invalid or names another limiter; a new spool is to be begun then.
    pub fn recover(limiter: &str, text: &str) -> Result<RecoveredSpool, SpoolError> {
        let mut lines = text
            .split_inclusive('\n')
            .map(|line| line.strip_suffix('\n'));
        let header = lines
            .next()
            .flatten()
            .and_then(Header::from_line)
            .ok_or(SpoolError::InvalidHeader)?;
        if header.source.name != limiter {
            return Err(SpoolError::OtherSource);
        }
        let mut spool = Spool::new(header.source);
        spool.next_sequence = header.next_sequence;
        let mut corrupt_lines = 0;
        for line in lines {
            spool.line_count += 1;
            let line = line.and_then(Line::from_line);
            if line.and_then(|line| spool.replay(line)).is_none() {
                corrupt_lines += 1;
            }
        }
        let unfinished_attempts = spool.open_attempts.len();
        let mut lines = spool.end_unfinished_attempts();
        if !text.ends_with('\n') {
            // A line that was truncated ends here, so that the next one is not appended to it.
            lines.insert(0, '\n');
        }
        Ok(RecoveredSpool {
            spool,
            corrupt_lines,
            unfinished_attempts,
            lines,
        })
    }

    /// Applies a line that was read. `None` where it does not fit the lines before it.
    fn replay(&mut self, line: Line) -> Option<()> {
        match line {
            Line::AttemptStarted {
                attempt,
                customer,
                milliunits,
            } => {
                self.next_attempt = self.next_attempt.max(attempt + 1);
                let open = OpenAttempt {
                    customer,
                    milliunits,
                };
                self.open_attempts.insert(attempt, open);
            }
            Line::AttemptEnded { attempt, usage } => {
                let open = self.open_attempts.remove(&attempt)?;
                self.add_unbatched(open.customer, usage);
            }
            Line::MalformedAttemptEnd { attempt } => {
                self.open_attempts.remove(&attempt)?;
                return None;
            }
            Line::Unbatched { customer, usage } => self.add_unbatched(customer, usage),
            Line::BatchCut(batch) => self.replay_batch(batch),
            Line::Exported { sequence } => self.remove_batches_up_to(sequence),
        }
        Some(())
    }

    fn replay_batch(&mut self, batch: Batch) {
        self.next_sequence = batch.sequence + 1;
        for customer in batch.usage.keys() {
            self.unbatched.remove(customer);
        }
        self.pending_batches.push_back(batch);
    }

    fn end_unfinished_attempts(&mut self) -> String {
        let attempts: Vec<u64> = self.open_attempts.keys().copied().collect();
        attempts
            .into_iter()
            .filter_map(|attempt| self.end_attempt(attempt, AttemptOutcome::Unknown))
            .collect()
    }
}
