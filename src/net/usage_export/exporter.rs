//! The exporter: the lease holder's writes to the sink.

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

/// Why a batch was not written.
#[derive(Debug, Error)]
pub enum ExportError {
    /// The operation belongs to another tenure.
    #[error("the lease has changed hands")]
    TenureEnded,
    /// The sink cannot be written.
    #[error(transparent)]
    Write(#[from] io::Error),
}

/// A period in which this limiter has held the lease without a break.
struct Tenure {
    token: FencingToken,
    file: AppendFile,
    /// The content of all files of the sink.
    sink: Sink,
}

/// Writes batches to the sink.
pub struct Exporter {
    folder: PathBuf,
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

    /// Begins the tenure of a token, unless it has begun: reads the sink and opens the tenure's own file.
    ///
    /// # Errors
    /// Where the sink cannot be read or written.
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

    /// Writes a batch, unless the sink has it.
    ///
    /// The operation shows that the lease is held. Should it expire meanwhile, the files of two tenures may contain the
    /// batch; it counts once.
    ///
    /// # Errors
    /// Where the sink cannot be written, or the operation belongs to another tenure.
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

/// The name of a tenure's file. The names sort in the order of the tenures.
fn file_name(token: FencingToken) -> String {
    let FencingToken {
        round,
        proposer,
        incarnation,
    } = token;
    format!("{round:020}-{proposer}-{incarnation}.{SINK_EXTENSION}")
}
