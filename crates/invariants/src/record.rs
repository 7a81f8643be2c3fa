//! The records of a run: facts with their times, as an observer outside the limiters sees them.

use crate::process::{HostIndex, PartnerIndex};
use quartzcleat_decision::api::{
    AttemptIndex, ClassIndex, HostState, LimiterIndex, Nanos, Outcome, RequestId,
};

/// A final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The value that a host made for it.
    Served,
    /// A rejection, with `retry_after`; zero where it states no time.
    Rejected(Nanos),
    /// A failure.
    Failed,
}

/// An observed event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A limiter has received a whole request.
    RequestReceived {
        /// The request: one attempt of a client at an operation.
        request: RequestId,
        /// The limiter.
        limiter: LimiterIndex,
        /// The operation that the client wants done. Its retries share it; in a class with idempotency keys it is
        /// the key.
        operation: u64,
        /// The class.
        class: ClassIndex,
        /// The partner.
        partner: PartnerIndex,
        /// The units that it takes of the partner's quota.
        units: f64,
        /// When the client gives up.
        deadline: Nanos,
    },
    /// A limiter was notified of a host's state.
    HostStateLearned {
        /// The limiter.
        limiter: LimiterIndex,
        /// The host.
        host: HostIndex,
        /// Its state from now on.
        state: HostState,
    },
    /// An attempt left a limiter for a host.
    AttemptSent {
        /// The limiter.
        limiter: LimiterIndex,
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// The host.
        host: HostIndex,
        /// Whether the host was warming up at that moment.
        warming_up: bool,
    },
    /// A host executed a request, or recognised it as a repeat.
    Executed {
        /// The host.
        host: HostIndex,
        /// The request.
        request: RequestId,
        /// It was not executed again: the result of an earlier execution stands for it.
        deduplicated: bool,
    },
    /// An attempt is no longer in flight.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// How it ended, as far as the limiter can know.
        outcome: Outcome,
    },
    /// A good answer stated a request's true units.
    UnitsSettled {
        /// The request.
        request: RequestId,
        /// The units.
        units: f64,
    },
    /// A client got its answer.
    Answered {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// A client disconnected; no answer is pending for it.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A host's process has just started and is warming up.
    HostStarted {
        /// The host.
        host: HostIndex,
    },
    /// A host that was warming up crashed, because it was sent more work than it can do in that state.
    HostOverloaded {
        /// The host.
        host: HostIndex,
    },
    /// A limiter died; its pending responses are void.
    LimiterDied {
        /// The limiter.
        limiter: LimiterIndex,
    },
    /// Something of the environment, for readers only.
    Note(String),
}

/// A fact and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When, in nanoseconds of the run's clock.
    pub at: Nanos,
    /// The observed event.
    pub fact: Fact,
}
