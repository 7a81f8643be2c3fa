//! Requirements: the conditions that an expectation places on a run, as plain data.

use quartzcleat_decision::api::{ClassIndex, HostState, LimiterIndex, Nanos};
use quartzcleat_invariants::{HostIndex, PartnerIndex};
use std::collections::BTreeSet;

/// The position of a request among those for its operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The first request for its operation.
    First,
    /// A client's retry: any later request for the operation.
    Retry,
}

/// A selection of the requests that a requirement applies to. A field that is `None` selects all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFilter {
    /// The class of the requests.
    pub class: Option<ClassIndex>,
    /// The partners that send the requests.
    pub partners: Option<BTreeSet<PartnerIndex>>,
    /// The limiter that receives the requests.
    pub limiter: Option<LimiterIndex>,
    /// The operation of the requests, as their mark names it.
    pub operation: Option<u64>,
    /// The earliest time of receipt, in nanoseconds after the start of the run.
    pub after: Nanos,
    /// The exclusive upper bound of the time of receipt, in nanoseconds after the start of the run.
    pub until: Option<Nanos>,
    /// Restricts the selection to first requests or to retries.
    pub kind: Option<RequestKind>,
}

/// An event that can happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request is sent to a host that its limiter knows to be in this state.
    ReachesUnavailableHost {
        /// Draining or gone.
        state: HostState,
        /// The time after the limiter was notified of the state during which an attempt does not count.
        grace: Nanos,
    },
    /// The request is sent to a host that is warming up (in slow start).
    ReachesWarmingUpHost,
    /// The request is sent to this host.
    ReachesHost(HostIndex),
    /// The request is sent to a host outside its limiter's zone.
    LeavesZone,
    /// Two attempts of the request go to the same host.
    ReachesHostTwice,
    /// The request is rejected.
    Rejected,
    /// The request is rejected without `retry_after`.
    RejectedWithoutRetryAfter,
    /// The request is served.
    Served,
    /// The request fails.
    Failed,
}

/// A value computed over the selected requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// The number of attempts of each request.
    Attempts,
    /// The number of executions of each operation, without deduplicated repeats.
    Executions,
    /// The number of attempts in flight at one moment.
    AttemptsInFlight,
    /// The total units of the forwarded requests.
    ForwardedUnits,
    /// The number of requests that were sent to a host at least once.
    Forwarded,
    /// The number of requests served.
    Served,
    /// The number of requests rejected.
    Rejected,
    /// The number of requests failed.
    Failed,
    /// The number of attempts sent outside the limiter's zone.
    CrossZoneAttempts,
    /// The attempts sent to this host, as a share of all attempts.
    HostShare(HostIndex),
}

/// The inclusive bounds of a value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// The lower bound; `None` if there is none.
    pub at_least: Option<f64>,
    /// The upper bound; `None` if there is none.
    pub at_most: Option<f64>,
    /// Whether the bounds are shares from 0 to 1, which apply to a sum divided by its largest possible value.
    pub is_share: bool,
}

/// A condition on the selected requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// The event happens to none of the requests.
    Never(RequestEvent),
    /// The event happens to every request.
    Always(RequestEvent),
    /// The metric lies within its bounds.
    Metric {
        /// The value that is compared.
        metric: Metric,
        /// The bounds, which include their ends.
        bounds: Bounds,
    },
    /// Each answer is given within this many nanoseconds of the receipt of its request.
    AnsweredWithin(Nanos),
    /// The `retry_after` of every rejection lies within these bounds, in nanoseconds.
    RetryAfter(Bounds),
}

/// A condition, the requests that it applies to, and its position in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Requirement {
    /// The requests that the condition applies to.
    pub filter: RequestFilter,
    /// The condition that must hold.
    pub condition: Condition,
    /// The line of the requirement in the file of expectations, counted from 1.
    pub line: u32,
}
