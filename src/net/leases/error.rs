//! Why leases cannot start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Leases cannot start. The text names the configuration key that is concerned.
#[derive(Debug, Error)]
pub enum LeaseError {
    /// The key file cannot be read.
    #[error("lease.key: cannot read {path}: {source}", path = path.display())]
    ReadKey {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The key file is empty.
    #[error("lease.key: {path} is empty; put some random bytes there", path = path.display())]
    EmptyKey {
        /// The file.
        path: PathBuf,
    },
    /// This limiter's address cannot be bound.
    #[error("lease.limiters.{limiter}: cannot listen on {address}: {source}")]
    Bind {
        /// This limiter's name.
        limiter: String,
        /// Its address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The spool of the usage export cannot be written.
    #[error("lease.tasks.export.spool: {folder}: {source}", folder = folder.display())]
    OpenSpool {
        /// The spool's folder.
        folder: PathBuf,
        /// The cause.
        source: io::Error,
    },
}
