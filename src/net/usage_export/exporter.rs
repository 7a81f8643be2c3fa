//! The exporter: writes batches to the sink on behalf of the lease holder.

use super::append_file::AppendFile;
use super::{read_sink, UsageRecorder, SINK_EXTENSION};
use quartzcleat_config::lease::CrashPoint;
use quartzcleat_lease::{FencingToken, PermittedOperation};
use quartzcleat_usage_export::{Sink, SinkRecord};
use std::cell::RefCell;
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why a batch was not written.
#[derive(Debug, Error)]
pub enum ExportError {
    /// The operation does not belong to the tenure that was last begun.
    #[error("operation does not belong to the current lease tenure")]
    TenureEnded,
    /// The sink file cannot be written.
    #[error(transparent)]
    Write(#[from] io::Error),
}

/// An uninterrupted period in which this limiter holds the lease, identified by its fencing token.
struct Tenure {
    token: FencingToken,
    /// The file in the sink that belongs to this tenure alone.
    file: AppendFile,
    /// The content of all sink files, as read at the beginning of the tenure, and the batches written since.
    sink: Sink,
}

/// A writer of batches to the sink.
pub struct Exporter {
    folder: PathBuf,
    /// The tenure that was last begun; `None` before the first.
    tenure: RefCell<Option<Tenure>>,
}

impl Exporter {
    /// Creates an exporter that has not begun a tenure.
    pub fn new(folder: &Path) -> Self {
        Exporter {
            folder: folder.to_owned(),
            tenure: RefCell::default(),
        }
    }

    /// Begins the tenure of a token by reading the sink and opening the tenure's own file. Does nothing if that tenure
    /// is the current one.
    ///
    /// # Errors
    /// Returns an error if the sink cannot be read or written.
    pub fn begin_tenure(&self, token: FencingToken) -> io::Result<()> {
        let has_begun = self
            .tenure
            .borrow()
            .as_ref()
            .is_some_and(|tenure| tenure.token == token);
        if has_begun {
            return Ok(());
        }
        fs::create_dir_all(&self.folder)?;
        let sink = read_sink(&self.folder)?;
        let path = self.folder.join(file_name(token));
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        *self.tenure.borrow_mut() = Some(Tenure {
            token,
            file: AppendFile::with_unknown_end(path, file)?,
            sink,
        });
        Ok(())
    }

    /// Writes a batch unless the sink already contains it.
    ///
    /// `operation` proves that the lease is held. If the lease expires during the write, the files of two tenures may
    /// contain the batch, which then counts once.
    ///
    /// # Errors
    /// Returns an error if the sink cannot be written or the operation does not belong to the current tenure.
    pub fn write(
        &self,
        operation: PermittedOperation,
        record: &SinkRecord,
        usage_recorder: &UsageRecorder,
    ) -> Result<(), ExportError> {
        let mut tenure = self.tenure.borrow_mut();
        let tenure = tenure
            .as_mut()
            .filter(|tenure| tenure.token == operation.token)
            .ok_or(ExportError::TenureEnded)?;
        usage_recorder.crash_if_scheduled(CrashPoint::BatchReceived);
        if !tenure.sink.contains(&record.source, record.batch.sequence) {
            tenure.file.append(&record.to_line())?;
            tenure.sink.add(record.clone());
        }
        usage_recorder.crash_if_scheduled(CrashPoint::BatchWritten);
        Ok(())
    }
}

/// Returns the name of a tenure's file. Names sort in the order of tenures.
fn file_name(token: FencingToken) -> String {
    let FencingToken {
        round,
        proposer,
        incarnation,
    } = token;
    format!("{round:020}-{proposer}-{incarnation}.{SINK_EXTENSION}")
}
