//! When a connection to the counter is given up: its state, with the deadlines that follow from it.
//!
//! Knows neither sockets nor calls.

use crate::net::config::Limits;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// A connection whose calls wait for this many call timeouts without an answer is compared with other connections.
const SUSPECT_AFTER_CALL_TIMEOUTS: u32 = 2;

/// The state of a connection to the counter, with its deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// No call waits for an answer.
    Idle {
        /// The connection is closed then.
        close_at: Instant,
    },
    /// An answer has begun, and its end has not been received.
    ReceivingAnswer {
        /// The connection is given up then: its answer never ends.
        fail_at: Instant,
    },
    /// Calls wait for the first answer on this connection. It is not compared with other connections: a counter that
    /// accepts connections and answers none must not get ever more of them.
    AwaitingFirstAnswer {
        /// The connection is given up then.
        fail_at: Instant,
    },
    /// Calls wait for an answer, on a connection that was answered before.
    AwaitingAnswer {
        /// The connection is suspect from then on.
        suspect_at: Instant,
        /// The connection is given up then.
        fail_at: Instant,
    },
    /// Calls have waited for so long that the connection is given up early where others were answered meanwhile: while
    /// a connection is silent, a part of the customers stays uncounted.
    Suspect {
        /// The connection is given up if another one was answered since.
        others_answered_since: Instant,
        /// The connection is given up then in any case.
        fail_at: Instant,
    },
}

/// The consequence of a deadline that has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineVerdict {
    /// It is closed: it had nothing to do for long.
    Close,
    /// It is given up: it was silent for too long.
    Fail,
    /// It becomes suspect.
    Suspect,
}

impl ConnectionState {
    /// The end of the state, unless the connection makes progress before.
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

    /// The consequence once [`Self::deadline`] has passed.
    pub(super) fn verdict_at_deadline(&self) -> DeadlineVerdict {
        match self {
            ConnectionState::Idle { .. } => DeadlineVerdict::Close,
            ConnectionState::AwaitingAnswer {
                suspect_at,
                fail_at,
            } if suspect_at <= fail_at => DeadlineVerdict::Suspect,
            ConnectionState::ReceivingAnswer { .. }
            | ConnectionState::AwaitingFirstAnswer { .. }
            | ConnectionState::AwaitingAnswer { .. }
            | ConnectionState::Suspect { .. } => DeadlineVerdict::Fail,
        }
    }
}

/// The calls of a connection, as far as its state follows from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallProgress {
    /// No call waits for an answer.
    NoneWaiting,
    /// Calls wait, and none was ever answered on the connection.
    NeverAnswered,
    /// Calls wait, and others were answered before.
    AnsweredBefore,
}

/// The durations after which a connection is closed or given up.
#[derive(Clone, Copy, Debug)]
pub(super) struct LivenessTimeouts {
    call: Duration,
    silence: Duration,
    idle: Duration,
}

impl LivenessTimeouts {
    /// The timeouts of the configuration in force.
    pub(super) fn from_limits(limits: &Limits) -> Self {
        LivenessTimeouts {
            call: limits.counter.call_timeout.get(),
            silence: limits.counter.silence_timeout,
            idle: limits.counter.idle_timeout,
        }
    }
}

/// The moments from which the deadlines of a connection run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Liveness {
    /// When bytes were last received, or the connection last had nothing to do.
    last_progress: Instant,
    /// When the answer began that is not complete yet.
    answer_began: Option<Instant>,
}

impl Liveness {
    /// A connection that was opened at a moment.
    pub(super) fn new(now: Instant) -> Self {
        Liveness {
            last_progress: now,
            answer_began: None,
        }
    }

    /// Records that the connection makes progress.
    pub(super) fn record_progress(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Records that a part of an answer waits for the remaining part.
    pub(super) fn record_partial_answer(&mut self, now: Instant) {
        self.answer_began.get_or_insert(now);
    }

    /// Records that no part of an answer waits for the remaining part.
    pub(super) fn record_complete_answers(&mut self) {
        self.answer_began = None;
    }

    /// The state at a moment.
    pub(super) fn state(
        &self,
        calls: CallProgress,
        timeouts: LivenessTimeouts,
        now: Instant,
    ) -> ConnectionState {
        if let Some(began) = self.answer_began {
            return ConnectionState::ReceivingAnswer {
                fail_at: began + timeouts.call,
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
                    // Its calls were made by then; an answer to another connection since shows that the counter works.
                    ConnectionState::Suspect {
                        others_answered_since: suspect_at - timeouts.call,
                        fail_at,
                    }
                }
            }
        }
    }
}
