//! The records of a run: timestamped facts, as observed from outside the limiters.

use crate::process::{HostIndex, PartnerIndex};
use quartzcleat_decision::api::{
    AttemptIndex, ClassIndex, HostState, LimiterIndex, Nanos, Outcome, RequestId,
};

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The result that a host produced.
    Served,
    /// A rejection with its `retry_after` in nanoseconds; 0 if the answer carries none.
    Rejected(Nanos),
    /// A failure, for example because no host answered before the deadline.
    Failed,
}

/// An observed event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A limiter received a complete request.
    RequestReceived {
        /// The request. A client's retry of the same operation is a request of its own.
        request: RequestId,
        /// The limiter that received it.
        limiter: LimiterIndex,
        /// The operation that the client requests. A client's retries carry the same value; in a class with
        /// idempotency keys it is the key.
        operation: u64,
        /// The request class.
        class: ClassIndex,
        /// The partner whose quota is charged.
        partner: PartnerIndex,
        /// Units that the request takes from the partner's quota.
        units: f64,
        /// When the client stops waiting, in nanoseconds of the run's clock.
        deadline: Nanos,
    },
    /// A limiter was notified of a host's state.
    HostStateLearned {
        /// The limiter that was notified.
        limiter: LimiterIndex,
        /// The host whose state was reported.
        host: HostIndex,
        /// The reported state.
        state: HostState,
    },
    /// A limiter sent an attempt to a host.
    AttemptSent {
        /// The sender.
        limiter: LimiterIndex,
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt, counted from 0 within its request.
        attempt: AttemptIndex,
        /// The host that the attempt was sent to.
        host: HostIndex,
        /// Whether the host was warming up when the attempt was sent.
        warming_up: bool,
    },
    /// A host executed a request or recognised it as a duplicate.
    Executed {
        /// The host that handled it.
        host: HostIndex,
        /// The request that the attempt belonged to.
        request: RequestId,
        /// Whether the host returned the result of an earlier execution instead of executing the request again.
        deduplicated: bool,
    },
    /// An attempt is no longer in flight.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt, counted from 0 within its request.
        attempt: AttemptIndex,
        /// The outcome as the limiter sees it; a timeout leaves open whether the host executed the request.
        outcome: Outcome,
    },
    /// A successful response stated the actual units of a request.
    UnitsSettled {
        /// The request that was answered.
        request: RequestId,
        /// Units that the request actually used.
        units: f64,
    },
    /// A client received the final answer to its request.
    Answered {
        /// The request that was answered.
        request: RequestId,
        /// The answer that the client received.
        answer: Answer,
    },
    /// A client disconnected, so its request needs no answer.
    ClientLeft {
        /// The request of the disconnected client.
        request: RequestId,
    },
    /// A host's process started and began to warm up.
    HostStarted {
        /// The host that started.
        host: HostIndex,
    },
    /// A host crashed because it received more work than it can execute while warming up.
    HostOverloaded {
        /// The host that crashed.
        host: HostIndex,
    },
    /// A limiter's process died, so its open requests need no answer.
    LimiterDied {
        /// The limiter that died.
        limiter: LimiterIndex,
    },
    /// A remark for the timeline, such as a change in the environment. The checker ignores it.
    Note(String),
}

/// A timestamped fact.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When the fact was observed, in nanoseconds of the run's clock.
    pub at: Nanos,
    /// The fact that was observed.
    pub fact: Fact,
}
