//! When the limiter closes a client connection.
//!
//! Knows no sockets.

use super::input::InputState;
use super::response_queue::CollectOutcome;
use crate::net::shutdown::Phase;

#[cfg(test)]
mod tests;

/// Whether a connection was accepted within the limit on connections.
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
    /// The limiter closes it, with nothing of its responses unsent.
    Orderly,
    /// Its client has gone, or takes nothing any more.
    Lost,
}

/// Whether a connection is closed at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseDecision {
    /// It stays open.
    Keep,
    /// It is closed.
    Close,
    /// It is closed, unless the client has sent another command by now.
    CloseUnlessReceived,
}

/// The work that a connection has done and has still to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    /// The bytes received and not parsed.
    pub(super) input: InputState,
    /// Where the collection of responses ended.
    pub(super) collected: CollectOutcome,
    /// The client has taken everything that was collected.
    pub(super) is_output_empty: bool,
    /// A response is pending.
    pub(super) has_pending_response: bool,
    /// A response has been collected completely.
    pub(super) has_responded: bool,
}

impl Progress {
    /// Whether every command received has its response, and the client has taken it.
    pub(super) fn is_between_requests(self) -> bool {
        self.is_output_empty && !self.has_pending_response
    }
}

/// How a connection stands to the shutdown and to the limit on connections.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosePolicy {
    admission: Admission,
    /// The phase of the limiter in which it was accepted.
    accepted_in: Phase,
}

impl ClosePolicy {
    /// The policy of a connection that was accepted in a phase of the limiter.
    pub(super) fn new(admission: Admission, accepted_in: Phase) -> Self {
        ClosePolicy {
            admission,
            accepted_in,
        }
    }

    /// Whether the connection was accepted within the limit on connections.
    pub(super) fn admission(self) -> Admission {
        self.admission
    }

    /// Decides whether a connection is closed in a phase of the limiter.
    pub(super) fn decide(self, progress: Progress, phase: Phase) -> CloseDecision {
        // The client can tell by the early end that a value is not complete.
        if progress.collected == CollectOutcome::BodyFailed && progress.is_output_empty {
            return CloseDecision::Close;
        }
        if !progress.is_between_requests() {
            return CloseDecision::Keep;
        }
        match progress.input {
            InputState::Malformed => CloseDecision::Close,
            InputState::Empty if self.is_closed_between_requests(progress, phase) => {
                CloseDecision::CloseUnlessReceived
            }
            InputState::Empty | InputState::PartialCommand => CloseDecision::Keep,
        }
    }

    /// Whether the connection closes as soon as it is between requests: clients are being drained, or it was accepted
    /// past the limit. Commands that were received together are all answered first. A connection that was accepted
    /// while clients are being drained, or past the limit, does not close before its first command.
    fn is_closed_between_requests(self, progress: Progress, phase: Phase) -> bool {
        let was_accepted_before = self.accepted_in < Phase::Closing;
        let is_drained = phase >= Phase::Closing && (progress.has_responded || was_accepted_before);
        let is_rejected = self.admission == Admission::Rejected && progress.has_responded;
        is_drained || is_rejected
    }
}
