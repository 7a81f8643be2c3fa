//! Actions: the output of the decision engine, and the timers that it sets.

use super::{AttemptIndex, HostId, LimiterIndex, LogEvent, Nanos, RequestId};

/// Recipients of a message to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peers {
    /// Every other limiter.
    All,
    /// The limiter with this index.
    One(LimiterIndex),
}

/// A timer of the decision engine. Timers are never cancelled: one that no longer applies has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// Latest moment for the final answer of a request.
    Deadline {
        /// The request.
        id: RequestId,
    },
    /// Latest moment at which an answer still meets the request's latency objective.
    LatencyObjective {
        /// The request.
        id: RequestId,
    },
    /// Latest moment up to which the request waits for its counter call.
    CounterWait {
        /// The request.
        id: RequestId,
    },
    /// The queue of admitted requests is examined again.
    ReleaseQueue,
    /// The subscription to the host list is requested again after a failure.
    WatchHosts,
    /// Customers and hosts that are no longer in use are removed.
    Sweep,
}

/// Commands in the order in which the caller carries them out.
pub(crate) type Actions = Vec<Action>;

/// A command to the caller, to be carried out at the time of the event that caused it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a host.
    Attempt {
        /// The request.
        id: RequestId,
        /// The host.
        host: HostId,
        /// Stop waiting for the answer after this duration.
        timeout: Nanos,
        /// Send within this duration, or not at all.
        begins_within: Nanos,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's index.
        attempt: AttemptIndex,
    },
    /// Final answer: rejected; the request had no effect that a retry would repeat.
    Reject {
        /// The request.
        id: RequestId,
        /// Backoff suggested to the client; zero: none.
        retry_after: Nanos,
    },
    /// Final answer: failed; the request may have had an effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The timer to deliver.
        timer: Timer,
        /// Duration from now.
        after: Nanos,
    },
    /// Send a health check to a host.
    HealthCheck {
        /// The host.
        host: HostId,
    },
    /// Close the idle connections to a host.
    CloseIdle {
        /// The host.
        host: HostId,
    },
    /// Send a message to other limiters.
    MessagePeers {
        /// The recipients.
        to: Peers,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Add to a count at the counter service and read its total.
    Count {
        /// The count's name.
        name: String,
        /// The amount to add; zero only reads.
        amount: f64,
        /// Lifetime of a count that this call creates.
        keep_for: Nanos,
    },
    /// Subscribe to changes of the host list, or unsubscribe.
    Watch {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the complete host list once.
    FetchHosts,
    /// Report a condition to the operators.
    Log {
        /// The condition.
        event: LogEvent,
    },
}
