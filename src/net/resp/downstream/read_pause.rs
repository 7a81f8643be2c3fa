//! The time for which commands of a client may have been unread because reading was paused.

use crate::net::resp::close::{self, SocketState};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A pause in which the bytes of a client are left unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPause {
    /// All unhandled bytes were received after the last pause.
    None,
    /// Reading is paused.
    Ongoing {
        /// Start of the pause.
        since: Instant,
    },
    /// Reading goes on, and bytes that were received during the pause may still be unread.
    Ended {
        /// Length of the pause.
        duration: Duration,
    },
}

impl ReadPause {
    /// Begins the pause. Has no effect on an ongoing one, and continues one after which bytes may still be unread.
    pub(super) fn begin(&mut self) {
        if !matches!(self, ReadPause::Ongoing { .. }) {
            let now = Instant::now();
            let since = now.checked_sub(self.duration()).unwrap_or(now);
            *self = ReadPause::Ongoing { since };
        }
    }

    /// Ends an ongoing pause. It is forgotten as soon as all bytes of the socket have been read.
    pub(super) fn end(&mut self, stream: &TcpStream) {
        if *self == ReadPause::None {
            return;
        }
        *self = match close::peek_now(stream) {
            SocketState::Empty => ReadPause::None,
            SocketState::Read(_) | SocketState::Closed => ReadPause::Ended {
                duration: self.duration(),
            },
        };
    }

    /// Returns for how long a command that is handled now may have been unread at most.
    pub(super) fn duration(self) -> Duration {
        match self {
            ReadPause::None => Duration::ZERO,
            ReadPause::Ongoing { since } => since.elapsed(),
            ReadPause::Ended { duration } => duration,
        }
    }
}
