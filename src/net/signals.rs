//! Unix signal handlers.

use std::io;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The error returned when a signal handler cannot be installed.
#[derive(Debug, Error)]
#[error("cannot install the handler for {signal}: {source}")]
pub struct SignalError {
    signal: &'static str,
    source: io::Error,
}

/// Installs the handler for SIGTERM, which starts the shutdown.
///
/// # Errors
/// Returns an error if the handler cannot be installed.
pub fn on_terminate() -> Result<Signal, SignalError> {
    install(SignalKind::terminate(), "SIGTERM")
}

/// Installs the handler for SIGHUP, which reloads the configuration.
///
/// # Errors
/// Returns an error if the handler cannot be installed.
pub fn on_hangup() -> Result<Signal, SignalError> {
    install(SignalKind::hangup(), "SIGHUP")
}

fn install(kind: SignalKind, name: &'static str) -> Result<Signal, SignalError> {
    signal(kind).map_err(|source| SignalError {
        signal: name,
        source,
    })
}
