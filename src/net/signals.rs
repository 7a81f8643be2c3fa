//! Handlers of Unix signals.

use std::io;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A signal handler cannot be installed.
#[derive(Debug, Error)]
#[error("cannot wait for {signal}: {source}")]
pub struct SignalError {
    signal: &'static str,
    source: io::Error,
}

/// Installs the handler of SIGTERM, which starts the shutdown.
///
/// # Errors
/// The handler cannot be installed.
pub fn on_terminate() -> Result<Signal, SignalError> {
    install(SignalKind::terminate(), "SIGTERM")
}

/// Installs the handler of SIGHUP, which reloads the configuration.
///
/// # Errors
/// The handler cannot be installed.
pub fn on_hangup() -> Result<Signal, SignalError> {
    install(SignalKind::hangup(), "SIGHUP")
}

fn install(kind: SignalKind, name: &'static str) -> Result<Signal, SignalError> {
    signal(kind).map_err(|source| SignalError {
        signal: name,
        source,
    })
}
