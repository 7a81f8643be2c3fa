//! The decision when to close a client connection, independent of sockets.

use super::input::InputState;
use super::response_queue::CollectOutcome;
use crate::net::shutdown::Phase;

#[cfg(test)]
mod tests;

/// Whether a connection was accepted within the connection limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Its requests are served.
    Served,
    /// It was accepted past the limit: its requests are rejected, and it closes after its first responses.
    Rejected,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The limiter closes it, and no collected bytes are unsent.
    Orderly(CloseReason),
    /// The client has gone or no longer accepts bytes, or the connection has failed.
    Lost(LossReason),
}

/// Why the limiter closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Clients are being drained.
    Drained,
    /// It was accepted past the connection limit, and has had its responses.
    PastLimit,
    /// It was idle for too long.
    IdleTimeout,
    /// Its next command was not complete in time.
    CommandTimeout,
    /// Another client needs its file descriptor.
    Evicted,
    /// Malformed bytes were received.
    Malformed,
    /// The rest of a streamed value will never be received.
    BodyFailed,
}

impl CloseReason {
    /// Whether the bytes that follow are no commands that the client could send again.
    pub(super) fn ends_reading(self) -> bool {
        self == CloseReason::Malformed
    }
}

/// Why a connection is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossReason {
    /// The client has closed it, or reading from it has failed.
    ClientGone,
    /// Writing to it has failed.
    WriteFailed,
    /// The client has left its responses unread for too long.
    WriteStalled,
}

/// Whether to close a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseDecision {
    /// The connection stays open.
    Keep,
    /// The connection is closed.
    Close(CloseReason),
    /// The connection is closed, unless more bytes have been received from the client in the meantime.
    CloseUnlessReceived(CloseReason),
}

/// The progress of a connection in reading commands and sending responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    /// The state of the received bytes that are not parsed yet.
    pub(super) input: InputState,
    /// The reason why collecting responses stopped.
    pub(super) collected: CollectOutcome,
    /// Whether all collected bytes have been written.
    pub(super) is_output_empty: bool,
    /// Whether a response is pending.
    pub(super) has_pending_response: bool,
    /// Whether a response has been collected completely.
    pub(super) has_responded: bool,
}

impl Progress {
    /// Returns whether every handled command has its response and all responses have been written.
    pub(super) fn is_between_requests(self) -> bool {
        self.is_output_empty && !self.has_pending_response
    }
}

/// The properties of a connection that decide when it is closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosePolicy {
    admission: Admission,
    /// Phase of the limiter in which the connection was accepted.
    accepted_in: Phase,
}

impl ClosePolicy {
    /// Creates the policy of a connection that was accepted in the phase `accepted_in` of the limiter.
    pub(super) fn new(admission: Admission, accepted_in: Phase) -> Self {
        ClosePolicy {
            admission,
            accepted_in,
        }
    }

    /// Returns whether the connection was accepted within the connection limit.
    pub(super) fn admission(self) -> Admission {
        self.admission
    }

    /// Decides whether to close the connection in a phase of the limiter.
    pub(super) fn decide(self, progress: Progress, phase: Phase) -> CloseDecision {
        // The client detects by the early end of the connection that the value is incomplete.
        if progress.collected == CollectOutcome::BodyFailed && progress.is_output_empty {
            return CloseDecision::Close(CloseReason::BodyFailed);
        }
        if !progress.is_between_requests() {
            return CloseDecision::Keep;
        }
        match progress.input {
            InputState::Malformed => CloseDecision::Close(CloseReason::Malformed),
            InputState::Empty => self
                .close_reason_between_requests(progress, phase)
                .map_or(CloseDecision::Keep, CloseDecision::CloseUnlessReceived),
            InputState::PartialCommand => CloseDecision::Keep,
        }
    }

    /// Returns why the connection closes as soon as it is between requests; `None` if it stays open. Commands that were
    /// received together are all answered first. A connection that was accepted during the drain or past the limit does
    /// not close before its first response.
    fn close_reason_between_requests(
        self,
        progress: Progress,
        phase: Phase,
    ) -> Option<CloseReason> {
        let was_accepted_before = self.accepted_in < Phase::Closing;
        if phase >= Phase::Closing && (progress.has_responded || was_accepted_before) {
            Some(CloseReason::Drained)
        } else if self.admission == Admission::Rejected && progress.has_responded {
            Some(CloseReason::PastLimit)
        } else {
            None
        }
    }
}
