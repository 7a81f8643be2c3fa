//! Why a limiter does not start.

use super::discovery::ListError;
use super::leases::LeaseError;
use super::signals::SignalError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A part of the limiter cannot start. The text names the configuration key that is concerned, if there is one.
#[derive(Debug, Error)]
pub enum StartError {
    /// The asynchronous runtime cannot be built.
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// The leases or the usage export cannot start.
    #[error(transparent)]
    Lease(#[from] LeaseError),
    /// The endpoint list in the configuration is malformed.
    #[error("known.{0}")]
    KnownHosts(#[from] ListError),
    /// The address of the admin interface cannot be bound.
    #[error("console: cannot listen on {address}: {source}")]
    ListenAdmin {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The address for clients cannot be bound.
    #[error("listen: cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}
