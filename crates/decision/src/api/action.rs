//! Actions, the output of the decision engine, and its timers.

use super::{AttemptIndex, HostId, LimiterIndex, LogEvent, Nanos, RequestId};

/// Recipients of a message to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peers {
    /// Every other limiter.
    All,
    /// Only the limiter with this index.
    One(LimiterIndex),
}

/// A timer of the decision engine. Timers are never cancelled; a timer that no longer applies has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// Latest moment for the final answer of a request.
    Deadline {
        /// Request that must be answered.
        id: RequestId,
    },
    /// Latest moment at which an answer still meets the request's latency objective.
    LatencyObjective {
        /// Request that the objective applies to.
        id: RequestId,
    },
    /// Latest moment up to which a request waits for the reply to its counter call.
    CounterWait {
        /// Request that waits.
        id: RequestId,
    },
    /// Next check of the queue of admitted requests.
    ReleaseQueue,
    /// Next attempt to subscribe to the host list after a failure.
    WatchHosts,
    /// Next removal of customers and hosts that are no longer in use.
    Sweep,
}

/// Actions in the order in which the caller carries them out.
pub(crate) type Actions = Vec<Action>;

/// A command to the caller, which carries it out at the time of the event that caused it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the request to a host.
    Attempt {
        /// Request to send.
        id: RequestId,
        /// Host that the request is sent to.
        host: HostId,
        /// Duration after which the caller stops waiting for the answer.
        timeout: Nanos,
        /// Duration within which the request must be sent; otherwise the attempt is not made.
        begins_within: Nanos,
    },
    /// Stops waiting for the answer to an attempt.
    CancelAttempt {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Attempt to cancel.
        attempt: AttemptIndex,
    },
    /// Answers the request as rejected. It had no effect that a retry would repeat.
    Reject {
        /// Request to answer.
        id: RequestId,
        /// Backoff suggested to the client; zero if none.
        retry_after: Nanos,
    },
    /// Answers the request as failed. It may have had an effect.
    Fail {
        /// Request to answer.
        id: RequestId,
    },
    /// Requests an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Timer that the event carries.
        timer: Timer,
        /// Delay from the time of the action.
        after: Nanos,
    },
    /// Sends a health check to a host.
    HealthCheck {
        /// Host to check.
        host: HostId,
    },
    /// Closes the idle connections to a host.
    CloseIdle {
        /// Host whose connections are closed.
        host: HostId,
    },
    /// Sends a message to other limiters.
    MessagePeers {
        /// Recipients of the message.
        to: Peers,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Adds to a count at the counter service and reads its total.
    Count {
        /// Name of the count.
        name: String,
        /// Amount to add, in units; zero only reads, a negative amount is a refund.
        amount: f64,
        /// Lifetime of the count if this call creates it.
        keep_for: Nanos,
    },
    /// Subscribes to changes of the host list, or unsubscribes.
    Watch {
        /// `true` to subscribe, `false` to unsubscribe.
        on: bool,
    },
    /// Fetches the complete host list once.
    FetchHosts,
    /// Reports a condition to the operators.
    Log {
        /// Condition to report.
        event: LogEvent,
    },
}
