//! The accept queue of a listener that is about to close. Closing a listener resets the connections that are still queued.

use crate::net::system_call::{repeat_interrupted, AcceptError};
use std::io;
use std::net::TcpStream;
use std::time::Duration;
use tokio::time::{sleep, Instant};

#[cfg(test)]
mod tests;

/// How long, and at which interval, the queue is tried again when a connection cannot be accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryLimits {
    /// Pause before the next call of `accept`.
    pub(super) pause: Duration,
    /// Time from which the remaining connections are given up.
    pub(super) deadline: Instant,
}

/// Accepts all queued connections and passes each one to `start`. `accept` must not block.
///
/// An error of `accept` concerns one connection, or is a lack of resources that may pass: the connections behind it are
/// still accepted.
pub(super) async fn accept_all(
    mut accept: impl FnMut() -> io::Result<TcpStream>,
    start: impl Fn(TcpStream),
    limits: RetryLimits,
) {
    loop {
        let error = match repeat_interrupted(&mut accept) {
            Ok(stream) => {
                start(stream);
                continue;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => error,
        };
        tracing::warn!(%error, "queued client connection lost");
        if AcceptError::classify(&error) == AcceptError::Resources {
            if Instant::now() >= limits.deadline {
                return;
            }
            sleep(limits.pause).await;
        }
    }
}
