//! State of a connection to the counter, and the deadlines after which it is closed.
//!
//! This module uses neither sockets nor calls.

use crate::net::config::Limits;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Time without an answer after which a connection becomes suspect and is compared with others, in call timeouts.
const SUSPECT_AFTER_CALL_TIMEOUTS: u32 = 2;

/// The state of a connection to the counter, with its deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// No call waits for an answer.
    Idle {
        /// When the connection is closed.
        close_at: Instant,
    },
    /// A part of an answer has been received.
    ReceivingAnswer {
        /// When the connection fails because the answer is still incomplete.
        fail_at: Instant,
    },
    /// Calls wait for the first answer on this connection. It is not compared with others, because a counter that
    /// accepts connections but never answers would get more and more of them.
    AwaitingFirstAnswer {
        /// When the connection fails.
        fail_at: Instant,
    },
    /// Calls wait for an answer on a connection that has received answers before.
    AwaitingAnswer {
        /// When the connection becomes suspect.
        suspect_at: Instant,
        /// When the connection fails.
        fail_at: Instant,
    },
    /// Calls have waited for so long that the connection fails early if another one was answered meanwhile. This
    /// shortens the time in which the customers on a silent connection are not counted.
    Suspect {
        /// The connection fails if another one was answered at this time or later.
        others_answered_since: Instant,
        /// When the connection fails in any case.
        fail_at: Instant,
    },
}

/// The action to take once a deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineAction {
    /// Close the connection, which was idle for too long.
    Close,
    /// Fail the connection, which was silent for too long.
    Fail,
    /// Treat the connection as suspect.
    Suspect,
}

impl ConnectionState {
    /// Returns the time at which the state ends unless the connection makes progress before.
    pub(super) fn deadline(&self) -> Instant {
        match *self {
            ConnectionState::Idle { close_at } => close_at,
            ConnectionState::ReceivingAnswer { fail_at }
            | ConnectionState::AwaitingFirstAnswer { fail_at }
            | ConnectionState::Suspect { fail_at, .. } => fail_at,
            ConnectionState::AwaitingAnswer {
                suspect_at,
                fail_at,
            } => suspect_at.min(fail_at),
        }
    }

    /// Returns the action to take once [`Self::deadline`] has passed.
    pub(super) fn action_at_deadline(&self) -> DeadlineAction {
        match self {
            ConnectionState::Idle { .. } => DeadlineAction::Close,
            ConnectionState::AwaitingAnswer {
                suspect_at,
                fail_at,
            } if suspect_at <= fail_at => DeadlineAction::Suspect,
            ConnectionState::ReceivingAnswer { .. }
            | ConnectionState::AwaitingFirstAnswer { .. }
            | ConnectionState::AwaitingAnswer { .. }
            | ConnectionState::Suspect { .. } => DeadlineAction::Fail,
        }
    }
}

/// The progress of a connection's calls, which determines its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallProgress {
    /// No call waits for an answer.
    NoneWaiting,
    /// Calls wait, and no answer was ever received on the connection.
    NeverAnswered,
    /// Calls wait, and answers were received before.
    AnsweredBefore,
}

/// The durations after which a connection is closed or fails.
#[derive(Clone, Copy, Debug)]
pub(super) struct LivenessTimeouts {
    /// The timeout of a call, and of an incomplete answer.
    call: Duration,
    /// The time without progress after which a connection with waiting calls fails.
    silence: Duration,
    /// The time without calls after which a connection is closed.
    idle: Duration,
}

impl LivenessTimeouts {
    /// Returns the timeouts of the current configuration.
    pub(super) fn from_limits(limits: &Limits) -> Self {
        LivenessTimeouts {
            call: limits.counter.call_timeout.get(),
            silence: limits.counter.silence_timeout,
            idle: limits.counter.idle_timeout,
        }
    }
}

/// The times from which the deadlines of a connection are calculated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Liveness {
    /// When bytes were last received, or when a call last ended an idle period.
    last_progress: Instant,
    /// When the first part of an incomplete answer was received; `None` without an incomplete answer.
    answer_started_at: Option<Instant>,
}

impl Liveness {
    /// Creates the state of a connection opened at `now`.
    pub(super) fn new(now: Instant) -> Self {
        Liveness {
            last_progress: now,
            answer_started_at: None,
        }
    }

    /// Records progress, which restarts all deadlines but that of an incomplete answer.
    pub(super) fn record_progress(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Records that an answer is incomplete. The time of its first part is kept.
    pub(super) fn record_partial_answer(&mut self, now: Instant) {
        self.answer_started_at.get_or_insert(now);
    }

    /// Records that there is no incomplete answer.
    pub(super) fn record_complete_answers(&mut self) {
        self.answer_started_at = None;
    }

    /// Returns the state at `now`.
    pub(super) fn state(
        &self,
        calls: CallProgress,
        timeouts: LivenessTimeouts,
        now: Instant,
    ) -> ConnectionState {
        if let Some(started_at) = self.answer_started_at {
            return ConnectionState::ReceivingAnswer {
                fail_at: started_at + timeouts.call,
            };
        }
        let fail_at = self.last_progress + timeouts.silence;
        match calls {
            CallProgress::NoneWaiting => ConnectionState::Idle {
                close_at: self.last_progress + timeouts.idle,
            },
            CallProgress::NeverAnswered => ConnectionState::AwaitingFirstAnswer { fail_at },
            CallProgress::AnsweredBefore => {
                let suspect_at = self.last_progress + SUSPECT_AFTER_CALL_TIMEOUTS * timeouts.call;
                if now < suspect_at {
                    ConnectionState::AwaitingAnswer {
                        suspect_at,
                        fail_at,
                    }
                } else {
                    // Calls were waiting by then, so a later answer on another connection shows that the counter works.
                    ConnectionState::Suspect {
                        others_answered_since: suspect_at - timeouts.call,
                        fail_at,
                    }
                }
            }
        }
    }
}
