//! Why leases cannot start.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Leases cannot start. The text names the configuration key that is concerned.
#[derive(Debug)]
pub enum LeaseError {
    /// The key file cannot be read.
    ReadKey {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The key file is empty.
    EmptyKey {
        /// The file.
        path: PathBuf,
    },
    /// This limiter's address cannot be bound.
    Bind {
        /// This limiter's name.
        limiter: String,
        /// Its address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The spool of the usage export cannot be written.
    OpenSpool {
        /// The spool's folder.
        folder: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

impl fmt::Display for LeaseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseError::ReadKey { path, source } => {
                write!(
                    formatter,
                    "lease.key: cannot read {}: {source}",
                    path.display()
                )
            }
            LeaseError::EmptyKey { path } => write!(
                formatter,
                "lease.key: {} is empty; put some random bytes there",
                path.display()
            ),
            LeaseError::Bind {
                limiter,
                address,
                source,
            } => write!(
                formatter,
                "lease.limiters.{limiter}: cannot listen on {address}: {source}"
            ),
            LeaseError::OpenSpool { folder, source } => write!(
                formatter,
                "lease.tasks.export.spool: {}: {source}",
                folder.display()
            ),
        }
    }
}

impl Error for LeaseError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            LeaseError::ReadKey { source, .. }
            | LeaseError::Bind { source, .. }
            | LeaseError::OpenSpool { source, .. } => Some(source),
            LeaseError::EmptyKey { .. } => None,
        }
    }
}
