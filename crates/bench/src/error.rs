//! Why a command of the bench fails.

use crate::module::ModuleError;
use quartzcleat_config::Faults;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A failure of a command. Its text is the message for the person who called it.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    /// A file that the command needs cannot be read.
    #[error("{}: cannot read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file or folder of the command's own cannot be used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A scenario or configuration is not valid.
    #[error(transparent)]
    Config(#[from] Faults),
    /// A key of a table of damages is not in the configuration.
    #[error("{key}: not in {file}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The configuration's file.
        file: String,
    },
    /// A run of one seed could not be carried out.
    #[error("seed {seed}: {source}")]
    Run {
        /// The seed.
        seed: u64,
        /// The cause.
        source: io::Error,
    },
    /// The result of a seed cannot be stored.
    #[error("a row cannot be kept: {0}")]
    StoreRow(#[source] io::Error),
    /// A file of rows belongs to another scenario.
    #[error("{}: these rows are of another story; name another file", path.display())]
    RowsOfAnotherScenario {
        /// The file of rows.
        path: PathBuf,
    },
    /// A picture cannot be drawn.
    #[error("{}: {source}", path.display())]
    Plot {
        /// The picture's file.
        path: PathBuf,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A limiter or its harness could not be run.
    #[error(transparent)]
    Harness(io::Error),
    /// A value cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A histogram cannot be set up.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A thread that carried out runs has panicked.
    #[error("a worker thread has panicked")]
    WorkerPanicked,
    /// The runs were carried out, and some did not hold; the report of all.
    #[error("{0}")]
    FailedSeeds(String),
    /// The damages to the decision crate could not be tried.
    #[error(transparent)]
    Module(#[from] ModuleError),
}

impl BenchError {
    /// Adds a file or folder to an I/O error.
    pub(crate) fn at(path: &Path) -> impl Fn(io::Error) -> BenchError + '_ {
        move |source| BenchError::File {
            path: path.to_owned(),
            source,
        }
    }
}

/// Reads a file that a command needs.
///
/// # Errors
/// Fails where it cannot be read, naming it.
pub(crate) fn read_file(path: &Path) -> Result<String, BenchError> {
    std::fs::read_to_string(path).map_err(|source| BenchError::Read {
        path: path.to_owned(),
        source,
    })
}
