//! Errors of system calls on sockets: which of them say nothing about the connection.

use std::io;

#[cfg(test)]
mod tests;

/// Makes a system call again for as long as a signal interrupts it (EINTR).
///
/// # Errors
/// Returns any other error of the call.
pub fn repeat_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// What an error of `accept` is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The connection that would have been accepted. The next one may be accepted at once.
    Connection,
    /// The process or the machine, which lacks descriptors or memory for now.
    Resources,
}

impl AcceptError {
    /// Classifies an error of `accept`. Unknown errors count as a lack of resources, so that no caller repeats them
    /// without a pause.
    pub fn classify(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::NetworkDown
            | io::ErrorKind::TimedOut => AcceptError::Connection,
            _ => AcceptError::Resources,
        }
    }
}
