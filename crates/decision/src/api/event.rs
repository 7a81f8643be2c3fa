//! Events: the input of the decision engine.

use super::{
    AttemptIndex, ClassIndex, CustomerId, HostEntry, HostId, LimiterIndex, ListMode, LoadReport,
    Nanos, Outcome, PlanIndex, RequestId, Settings, Timer,
};
use crate::EngineSnapshot;

/// An event that the decision engine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The host list, or changes to it.
    Hosts {
        /// Version of the list.
        version: u64,
        /// How the entries relate to the list known so far.
        mode: ListMode,
        /// Entries of the list, all or only the changed ones depending on `mode`.
        entries: Vec<HostEntry>,
    },
    /// A request arrived; exactly one final answer must follow.
    Request {
        /// Identifier for the later events and actions of this request.
        id: RequestId,
        /// Request class, which defines its objective, deadline and weight.
        class: ClassIndex,
        /// Plan that defines the customer's quota.
        plan: PlanIndex,
        /// Customer whose quota the request uses.
        customer: CustomerId,
        /// Duration after which the client stops waiting.
        budget: Nanos,
        /// Units that the request takes from the quota.
        units: f64,
        /// Number of limiters through which this customer's requests arrive.
        spread: u32,
        /// The first of these limiters.
        first_limiter: LimiterIndex,
        /// Flags as received, which the engine does not use.
        flags: u64,
    },
    /// A streamed answer has begun; the request's deadline no longer applies.
    StreamStarted {
        /// Request that the stream answers.
        id: RequestId,
        /// Attempt that the stream belongs to.
        attempt: AttemptIndex,
        /// Host that sends the stream.
        host: HostId,
        /// Duration of the attempt so far.
        elapsed: Nanos,
    },
    /// An attempt ended. Each attempt gets exactly one such event.
    AttemptDone {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Attempt that ended.
        attempt: AttemptIndex,
        /// Host that the attempt was sent to.
        host: HostId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Duration of the attempt.
        elapsed: Nanos,
        /// Whether the request is finished, by this outcome or before it.
        is_request_finished: bool,
        /// The customer's metered use; zero if not reported.
        metered_use: u64,
        /// The request's true units if they were an estimate; zero if not reported.
        true_units: f64,
        /// The host's load report; empty if there is none.
        load: LoadReport,
    },
    /// The client closed its connection and no longer expects an answer.
    Abandoned {
        /// Request that the client abandoned.
        id: RequestId,
    },
    /// A timer set with [`Action::SetTimer`](super::Action::SetTimer) is due.
    Timer {
        /// Timer that is due.
        timer: Timer,
    },
    /// The result of an [`Action::HealthCheck`](super::Action::HealthCheck).
    HealthCheckDone {
        /// Host that was checked.
        host: HostId,
        /// How the health check ended.
        outcome: Outcome,
        /// Duration of the health check.
        elapsed: Nanos,
        /// The host's load report; empty if there is none.
        load: LoadReport,
    },
    /// New settings, effective immediately. Classes and plans that known requests refer to keep their indices.
    SettingsChanged {
        /// Complete settings, which replace the previous ones.
        settings: Box<Settings>,
    },
    /// The state of the limiter that this one succeeds, delivered before the first request.
    SnapshotRestored {
        /// State of the predecessor.
        snapshot: Box<EngineSnapshot>,
    },
    /// A message from another limiter.
    Peer {
        /// Sender of the message.
        from: LimiterIndex,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// The reply to one [`Action::Count`](super::Action::Count). Replies for the same name come in the order of
    /// the calls.
    CounterReplied {
        /// Name of the count.
        name: String,
        /// How the call ended.
        outcome: Outcome,
        /// Total after the call in units, valid only with [`Outcome::Good`].
        total: f64,
        /// Duration of the call.
        elapsed: Nanos,
    },
}

impl Event {
    /// Returns the end of an attempt that the caller did not send, for example because the client had already
    /// closed its connection.
    #[must_use]
    pub fn attempt_never_sent(request: RequestId, attempt: AttemptIndex, host: HostId) -> Self {
        Event::AttemptDone {
            id: request,
            attempt,
            host,
            outcome: Outcome::NeverSent,
            elapsed: 0,
            is_request_finished: false,
            metered_use: 0,
            true_units: 0.0,
            load: LoadReport::default(),
        }
    }
}
