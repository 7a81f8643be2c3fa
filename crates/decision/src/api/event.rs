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
        /// The entries.
        entries: Vec<HostEntry>,
    },
    /// A request arrived; exactly one final answer must follow.
    Request {
        /// The request.
        id: RequestId,
        /// Its class.
        class: ClassIndex,
        /// Its plan.
        plan: PlanIndex,
        /// Its customer.
        customer: CustomerId,
        /// Duration after which the client gives up.
        budget: Nanos,
        /// Units that it takes from the quota.
        units: f64,
        /// Number of limiters through which this customer's requests arrive.
        spread: u32,
        /// The first of these limiters.
        first_limiter: LimiterIndex,
        /// Flags as received; the engine does not use them.
        flags: u64,
    },
    /// A streamed answer has begun; the request's deadline no longer applies.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's index, from zero.
        attempt: AttemptIndex,
        /// The host.
        host: HostId,
        /// Duration of the attempt so far.
        elapsed: Nanos,
    },
    /// An attempt ended; each attempt gets exactly one of these.
    AttemptDone {
        /// The request.
        id: RequestId,
        /// The attempt's index, from zero.
        attempt: AttemptIndex,
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Duration of the attempt.
        elapsed: Nanos,
        /// Whether the request is finished, by this outcome or before it.
        is_request_finished: bool,
        /// The customer's metered use; zero: not reported.
        metered_use: u64,
        /// The request's true units where they were an estimate; zero: not reported.
        true_units: f64,
        /// The host's load report; empty: none.
        load: LoadReport,
    },
    /// The client closed its connection; no answer is expected any more.
    Abandoned {
        /// The request.
        id: RequestId,
    },
    /// A timer set with [`Action::SetTimer`](super::Action::SetTimer) is due.
    Timer {
        /// The timer.
        timer: Timer,
    },
    /// The result of an [`Action::HealthCheck`](super::Action::HealthCheck).
    HealthCheckDone {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Duration of the health check.
        elapsed: Nanos,
        /// The host's load report; empty: none.
        load: LoadReport,
    },
    /// New settings, effective from now on. Classes and plans keep the indices that known requests refer to.
    SettingsChanged {
        /// The new settings.
        settings: Box<Settings>,
    },
    /// The state of the limiter that this one succeeds. No request has arrived yet.
    SnapshotRestored {
        /// The predecessor's state.
        snapshot: Box<EngineSnapshot>,
    },
    /// A message from another limiter.
    Peer {
        /// The sender.
        from: LimiterIndex,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The reply to one [`Action::Count`](super::Action::Count); replies for one name come in the order of
    /// calls.
    CounterReplied {
        /// The count's name.
        name: String,
        /// How the call ended.
        outcome: Outcome,
        /// The total after the call, valid with [`Outcome::Good`].
        total: f64,
        /// Duration of the call.
        elapsed: Nanos,
    },
}

impl Event {
    /// The end of an attempt that the caller did not send, for example since its client was already gone.
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
