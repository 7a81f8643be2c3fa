//! Recovery of a spool from the file of a process that has ended.

use super::line::{Header, Line};
use super::{AttemptOutcome, OpenAttempt, Spool};
use crate::Batch;
use thiserror::Error;

/// The result of reading a spool from its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredSpool {
    /// The recovered spool, without open attempts.
    pub spool: Spool,
    /// The number of lines that are truncated, corrupt or inconsistent with the lines before them.
    pub corrupt_lines: usize,
    /// The number of attempts without a recorded end, whose usage is now uncertain.
    pub unfinished_attempts: usize,
    /// The lines to be appended to the file before any other. They end the unfinished attempts, which the next recovery
    /// would otherwise count again.
    pub lines: String,
}

/// The reason why a file is not a spool of this limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SpoolError {
    /// The first line is missing, incomplete or not the header of a spool.
    #[error("first line is not a valid spool header")]
    InvalidHeader,
    /// The header names another limiter.
    #[error("spool belongs to another limiter")]
    OtherSource,
}

impl Spool {
    /// Recovers a spool from the text of its file, written by an earlier process of this limiter.
    ///
    /// # Errors
    /// A [`SpoolError`] if the header is invalid or names another limiter; the caller then creates a new spool.
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
            // Ends a truncated last line, so that the next line is not appended to it.
            lines.insert(0, '\n');
        }
        Ok(RecoveredSpool {
            spool,
            corrupt_lines,
            unfinished_attempts,
            lines,
        })
    }

    /// Applies a line of the file. Returns `None` if the line is inconsistent with the lines before it, or is a
    /// malformed attempt end.
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
