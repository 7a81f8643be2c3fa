//! Pending requests: those without a final answer.

use crate::api::{AttemptIndex, ClassIndex, Nanos, PlanIndex, RequestId};
use crate::context::Context;
use crate::hosts::{HostRequirements, Location};
use crate::quota::QuotaClaim;
use std::collections::BTreeMap;

/// State of a pending request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestState {
    /// Waiting for the counter's reply.
    AwaitingCounter,
    /// Admitted; waiting for a host, for the customer's hard ceiling or for its limit on concurrent attempts.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// A streamed answer has started.
    Streaming,
}

/// Request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) claim: QuotaClaim,
    pub(super) requirements: HostRequirements,
    pub(super) arrived_at: Nanos,
    pub(super) deadline: Nanos,
    pub(super) state: RequestState,
    /// Number of attempts sent so far.
    pub(super) attempts: u32,
    /// The first attempt that may have run; `None` if none has.
    pub(super) first_run: Option<FirstRun>,
}

impl PendingRequest {
    pub(super) fn class(&self) -> ClassIndex {
        self.requirements.class
    }

    pub(super) fn plan(&self) -> PlanIndex {
        self.claim.plan
    }

    /// Returns the index of the latest attempt. At least one attempt must have been sent.
    pub(super) fn latest_attempt(&self) -> AttemptIndex {
        AttemptIndex(self.attempts - 1)
    }

    /// Returns the latest time at which an answer meets the latency objective of the request's class.
    pub(super) fn objective_deadline(&self, context: &Context) -> Nanos {
        let objective = context.class(self.class()).latency_objective;
        self.arrived_at.saturating_add(objective).min(self.deadline)
    }
}

/// First attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstRun {
    pub(super) attempt: AttemptIndex,
    pub(super) location: Location,
    pub(super) sent_at: Nanos,
}

/// Pending requests, by id.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, PendingRequest>,
}

impl RequestTable {
    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.requests.insert(id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns a request if it is in the given state.
    pub(super) fn in_state(&self, id: RequestId, state: RequestState) -> Option<&PendingRequest> {
        self.get(id).filter(|request| request.state == state)
    }

    pub(super) fn set_state(&mut self, id: RequestId, state: RequestState) {
        if let Some(request) = self.get_mut(id) {
            request.state = state;
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.requests.remove(&id)
    }
}
