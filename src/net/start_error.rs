//! Errors at the start of a limiter.

use super::discovery::ListError;
use super::leases::LeaseError;
use super::signals::SignalError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The error returned when a part of the limiter cannot start. Its message names the configuration key at fault, if
/// there is one.
#[derive(Debug, Error)]
pub enum StartError {
    /// The asynchronous runtime cannot be built.
    #[error("cannot create the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// The leases or the usage export cannot be started.
    #[error(transparent)]
    Lease(#[from] LeaseError),
    /// The endpoint list in the configuration is malformed.
    #[error("known.{0}")]
    KnownHosts(#[from] ListError),
    /// The listening address of the admin interface cannot be bound.
    #[error("console: cannot listen on {address}: {source}")]
    ListenAdmin {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The listening address for clients cannot be bound.
    #[error("listen: cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}
