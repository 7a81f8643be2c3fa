//! Requests without a final answer.

use crate::api::{AttemptIndex, ClassIndex, Nanos, PlanIndex, RequestId};
use crate::context::Context;
use crate::hosts::{HostRequirements, Location};
use crate::quota::QuotaClaim;
use std::collections::BTreeMap;

/// State of a request without a final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestState {
    /// Waiting for the counter.
    AwaitingCounter,
    /// Admitted, waiting for a host, for the ceiling or for the cap on concurrent attempts.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// A streamed answer has begun.
    Streaming,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) claim: QuotaClaim,
    pub(super) requirements: HostRequirements,
    pub(super) arrived_at: Nanos,
    pub(super) deadline: Nanos,
    pub(super) state: RequestState,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    /// The first attempt that may have run.
    pub(super) first_run: Option<FirstRun>,
}

impl PendingRequest {
    pub(super) fn class(&self) -> ClassIndex {
        self.requirements.class
    }

    pub(super) fn plan(&self) -> PlanIndex {
        self.claim.plan
    }

    /// The latest attempt; the request must have one.
    pub(super) fn latest_attempt(&self) -> AttemptIndex {
        AttemptIndex(self.attempts - 1)
    }

    /// Time by which an answer meets the latency objective of the request's class.
    pub(super) fn objective_deadline(&self, context: &Context) -> Nanos {
        let objective = context.class(self.class()).latency_objective;
        self.arrived_at.saturating_add(objective).min(self.deadline)
    }
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstRun {
    pub(super) attempt: AttemptIndex,
    pub(super) location: Location,
    pub(super) sent_at: Nanos,
}

/// The requests without a final answer, by their ids.
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

    /// The request, if it is in a state.
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
