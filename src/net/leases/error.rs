//! The errors of starting leases.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why leases cannot start. The message begins with the configuration key at fault.
#[derive(Debug, Error)]
pub enum LeaseError {
    /// The key file cannot be read.
    #[error("lease.key: cannot read {path}: {source}", path = path.display())]
    ReadKey {
        /// Path of the key file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The key file is empty.
    #[error("lease.key: {path} is empty; write random bytes to it", path = path.display())]
    EmptyKey {
        /// Path of the key file.
        path: PathBuf,
    },
    /// This limiter's address cannot be bound.
    #[error("lease.limiters.{limiter}: cannot listen on {address}: {source}")]
    Bind {
        /// Name of this limiter.
        limiter: String,
        /// The configured address of this limiter.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The spool of the usage export cannot be written.
    #[error("lease.tasks.export.spool: cannot open a spool in {folder}: {source}", folder = folder.display())]
    OpenSpool {
        /// Folder of the spool.
        folder: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
}
