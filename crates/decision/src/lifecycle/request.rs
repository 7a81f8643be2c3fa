//! Data of the request lifecycle.

use crate::api::{AttemptIndex, Nanos, Outcome, RequestId};
use crate::host_selection::{HostRequirements, Location};
use crate::quota::QuotaClaim;

/// State of a request without a final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestState {
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
pub(crate) struct PendingRequest {
    pub(crate) claim: QuotaClaim,
    pub(crate) requirements: HostRequirements,
    pub(crate) arrived_at: Nanos,
    pub(crate) deadline: Nanos,
    pub(crate) state: RequestState,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// The first attempt that may have run.
    pub(crate) first_run: Option<FirstRun>,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstRun {
    pub(crate) attempt: AttemptIndex,
    pub(crate) location: Location,
    pub(crate) sent_at: Nanos,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptIndex,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Nanos,
    pub(crate) is_request_finished: bool,
    /// The request's true units where they were an estimate.
    pub(crate) true_units: f64,
}

/// What became of a request to be dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Dispatch {
    Sent,
    /// The customer's ceiling or cap, or the request's group of hosts, has no capacity; other requests may
    /// go.
    RequestLimited,
    /// No host has capacity for any request.
    NoHost,
}
