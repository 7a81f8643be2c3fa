//! The usage recorder: the spool of this process and those of previous processes of the same limiter.

use super::append_file::AppendFile;
use super::{has_extension, SPOOL_EXTENSION};
use crate::api::Outcome;
use crate::net::engine::CallResult;
use crate::net::unix_time;
use quartzcleat_config::lease::{CrashPoint, ScheduledCrash};
use quartzcleat_usage_export::{AttemptOutcome, SinkRecord, Source, Spool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// File name extension of a compacted spool that has not replaced the original yet.
const DRAFT_EXTENSION: &str = "draft";

/// A spool and its file, which the process keeps locked until it ends.
struct SpoolFile {
    spool: RefCell<Spool>,
    file: AppendFile,
}

impl SpoolFile {
    /// Creates and locks the spool file of this process.
    fn create(folder: &Path, source: Source) -> io::Result<SpoolFile> {
        fs::create_dir_all(folder)?;
        let process_id = std::process::id();
        let name = format!("{:020}-{process_id}.{SPOOL_EXTENSION}", source.epoch);
        let path = folder.join(name);
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(&path)?;
        file.try_lock().map_err(io::Error::from)?;
        let spool = Spool::new(source);
        let file = AppendFile::new(path, file);
        file.append(&spool.header())?;
        Ok(SpoolFile {
            spool: RefCell::new(spool),
            file,
        })
    }

    /// Appends lines. If that fails, the usage is lost to the export, but the limiter continues to serve.
    fn append(&self, lines: &str) {
        if let Err(error) = self.file.append(lines) {
            let path = self.file.path().display();
            tracing::warn!(%path, %error, "spool cannot be written");
        }
    }

    fn acknowledge(&self, sequence: u64) {
        let line = self.spool.borrow_mut().acknowledge(sequence);
        if let Some(line) = line {
            self.append(&line);
        }
    }

    fn first_pending_batch(&self) -> Option<SinkRecord> {
        let spool = self.spool.borrow();
        let batch = spool.pending_batches().next().cloned()?;
        Some(SinkRecord {
            source: spool.source().clone(),
            batch,
        })
    }

    /// Replaces the file by a shorter one with equivalent content if most of its lines are obsolete.
    fn compact(&self) {
        let compacted = self.spool.borrow_mut().compact();
        let Some(text) = compacted else { return };
        match replace_file(self.file.path(), &text) {
            Ok(file) => self.file.replace(file),
            Err(error) => {
                let path = self.file.path().display();
                tracing::warn!(%path, %error, "spool cannot be compacted");
            }
        }
    }
}

/// Replaces the file at `path`: writes a draft beside it, locks the draft and renames it to `path`.
fn replace_file(path: &Path, text: &str) -> io::Result<File> {
    let draft = path.with_extension(DRAFT_EXTENSION);
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .open(&draft)?;
    file.write_all(text.as_bytes())?;
    file.try_lock().map_err(io::Error::from)?;
    fs::rename(&draft, path)?;
    Ok(file)
}

/// The usage spools of this limiter.
pub struct UsageRecorder {
    limiter: String,
    folder: PathBuf,
    /// The spool of this process.
    own: SpoolFile,
    /// Spools of previous processes, by path.
    adopted: RefCell<BTreeMap<PathBuf, SpoolFile>>,
    /// Fault injection for tests; `None` in operation.
    scheduled_crash: Cell<Option<ScheduledCrash>>,
}

impl UsageRecorder {
    /// Creates a spool for this process in `folder` and adopts the spools of previous processes there.
    ///
    /// # Errors
    /// Returns an error if the folder or the spool cannot be written.
    pub fn open(
        limiter: &str,
        folder: &Path,
        scheduled_crash: Option<ScheduledCrash>,
    ) -> io::Result<UsageRecorder> {
        let source = Source {
            name: limiter.to_owned(),
            epoch: unix_time::now(),
        };
        let usage_recorder = UsageRecorder {
            limiter: limiter.to_owned(),
            folder: folder.to_owned(),
            own: SpoolFile::create(folder, source)?,
            adopted: RefCell::default(),
            scheduled_crash: Cell::new(scheduled_crash),
        };
        usage_recorder.adopt_orphaned_spools();
        Ok(usage_recorder)
    }

    /// Aborts the process if a test has scheduled a crash for this point.
    pub fn crash_if_scheduled(&self, point: CrashPoint) {
        let Some(crash) = self.scheduled_crash.get().filter(|crash| crash.at == point) else {
            return;
        };
        if crash.after == 0 {
            tracing::error!(?point, "scheduled crash");
            std::process::abort();
        }
        self.scheduled_crash.set(Some(ScheduledCrash {
            after: crash.after - 1,
            ..crash
        }));
    }

    /// Records an attempt that is about to be sent and returns its number.
    pub fn start_attempt(&self, customer: u64, units: f64) -> u64 {
        let started = self.own.spool.borrow_mut().start_attempt(customer, units);
        self.own.append(&started.line);
        self.crash_if_scheduled(CrashPoint::AttemptRecorded);
        started.attempt
    }

    /// Records the outcome of an attempt. `fully_sent` tells whether the last byte of the request was sent;
    /// `estimated_units` are recorded if the attempt succeeded and the host reported no units.
    pub fn end_attempt(
        &self,
        attempt: u64,
        result: &CallResult,
        fully_sent: bool,
        estimated_units: f64,
    ) {
        self.crash_if_scheduled(CrashPoint::AttemptEnded);
        let outcome = match result.outcome {
            Outcome::Good if result.usage.units > 0.0 => {
                AttemptOutcome::Executed(result.usage.units)
            }
            Outcome::Good => AttemptOutcome::Executed(estimated_units),
            outcome if outcome.never_ran() || !fully_sent => AttemptOutcome::NotExecuted,
            _ => AttemptOutcome::Unknown,
        };
        let line = self.own.spool.borrow_mut().end_attempt(attempt, outcome);
        if let Some(line) = line {
            self.own.append(&line);
        }
    }

    /// Adopts the spools of previous processes of this limiter that have ended, which is known from the released file
    /// lock.
    pub fn adopt_orphaned_spools(&self) {
        let Ok(entries) = fs::read_dir(&self.folder) else {
            return;
        };
        for path in entries.flatten().map(|entry| entry.path()) {
            if self.is_known(&path) || !has_extension(&path, SPOOL_EXTENSION) {
                continue;
            }
            if let Some(spool_file) = self.adopt(&path) {
                self.adopted.borrow_mut().insert(path, spool_file);
            }
        }
    }

    /// Cuts batches of all usage of ended attempts, and compacts this process's own spool.
    pub fn cut_batches(&self) {
        let adopted = self.adopted.borrow();
        for spool_file in self.all_spools(&adopted) {
            loop {
                let line = spool_file.spool.borrow_mut().cut_batch();
                let Some(line) = line else { break };
                spool_file.append(&line);
                self.crash_if_scheduled(CrashPoint::BatchCut);
            }
        }
        self.own.compact();
    }

    /// Returns the first batch that is not known to be in the sink; `None` if there is none. Batches of previous
    /// processes precede those of this one.
    pub fn first_pending_batch(&self) -> Option<SinkRecord> {
        let adopted = self.adopted.borrow();
        let first = self
            .all_spools(&adopted)
            .find_map(SpoolFile::first_pending_batch);
        first
    }

    /// Records that the sink contains the batches of the spool with `epoch` up to `sequence`. An adopted spool is
    /// removed once the sink contains all of it.
    pub fn acknowledge(&self, epoch: u64, sequence: u64) {
        self.crash_if_scheduled(CrashPoint::AcknowledgementReceived);
        let mut adopted = self.adopted.borrow_mut();
        for spool_file in self.all_spools(&adopted) {
            let is_acknowledged = spool_file.spool.borrow().source().epoch == epoch;
            if is_acknowledged {
                spool_file.acknowledge(sequence);
            }
        }
        self.crash_if_scheduled(CrashPoint::AcknowledgementRecorded);
        adopted.retain(|path, spool_file| {
            let is_exported = spool_file.spool.borrow().is_empty();
            if is_exported {
                // If removal fails, the file is adopted again, found empty again, and removed on a later call.
                let _ = fs::remove_file(path);
            }
            !is_exported
        });
    }

    /// Returns the adopted spools, followed by the spool of this process.
    fn all_spools<'a>(
        &'a self,
        adopted: &'a BTreeMap<PathBuf, SpoolFile>,
    ) -> impl Iterator<Item = &'a SpoolFile> {
        adopted.values().chain([&self.own])
    }

    fn is_known(&self, path: &Path) -> bool {
        path == self.own.file.path() || self.adopted.borrow().contains_key(path)
    }

    /// Locks and recovers the spool at a path; `None` if it is locked, unreadable or has an invalid header.
    fn adopt(&self, path: &Path) -> Option<SpoolFile> {
        let file = OpenOptions::new().append(true).open(path).ok()?;
        file.try_lock().ok()?;
        let text = fs::read_to_string(path).ok()?;
        let recovered = match Spool::recover(&self.limiter, &text) {
            Ok(recovered) => recovered,
            Err(error) => {
                // A process that ended before its header was complete has sent no attempts.
                tracing::warn!(path = %path.display(), %error, "spool ignored");
                return None;
            }
        };
        tracing::info!(
            path = %path.display(),
            corrupt_lines = recovered.corrupt_lines,
            unfinished_attempts = recovered.unfinished_attempts,
            "spool adopted"
        );
        let spool_file = SpoolFile {
            spool: RefCell::new(recovered.spool),
            file: AppendFile::new(path.to_owned(), file),
        };
        spool_file.append(&recovered.lines);
        Some(spool_file)
    }
}
