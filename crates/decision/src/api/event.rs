//! Events: the input of the decision engine.

use super::{
    CustomerId, HostEntry, HostId, ListMode, Load, Nanos, Outcome, RequestId, Settings, Timer,
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
        /// Index of its class.
        class: u32,
        /// Index of its plan.
        plan: u32,
        /// Its customer.
        customer: CustomerId,
        /// Duration after which the client gives up.
        budget: Nanos,
        /// Units that it takes from the quota.
        units: f64,
        /// Number of limiters through which this customer's requests arrive.
        spread: u32,
        /// Index of the first of these limiters.
        first_limiter: u32,
        /// Flags as received; the engine does not use them.
        flags: u64,
    },
    /// A streamed answer has begun; the request's deadline no longer applies.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's index, from zero.
        attempt: u32,
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
        attempt: u32,
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Duration of the attempt.
        elapsed: Nanos,
        /// Whether the request is finished, by this outcome or before it.
        over: bool,
        /// The customer's metered use; zero: not reported.
        metered_use: u64,
        /// The request's true units where they were an estimate; zero: not reported.
        true_units: f64,
        /// The host's load report; empty: none.
        load: Load,
    },
    /// The client went away; no answer is due any more.
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
        load: Load,
    },
    /// New settings, effective from now on. Classes and plans keep the indices that known requests refer to.
    SettingsChanged {
        /// The new settings.
        settings: Box<Settings>,
    },
    /// The state of the limiter that this one succeeds; no request has arrived at this one yet.
    SnapshotInherited {
        /// The predecessor's state.
        learned: Box<EngineSnapshot>,
    },
    /// A message from another limiter.
    Peer {
        /// The sender's index.
        from: u32,
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
