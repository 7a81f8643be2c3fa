//! Requirements: the conditions of an expectation on a run, as plain data.

use quartzcleat_decision::api::{ClassIndex, HostState, LimiterIndex, Nanos};
use quartzcleat_invariants::{HostIndex, PartnerIndex};
use std::collections::BTreeSet;

/// Whether a request is the first one for its operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The first request for its operation.
    First,
    /// A retry of its client.
    Retry,
}

/// The requests that a requirement is about. A field that is `None` selects all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFilter {
    /// Their class.
    pub class: Option<ClassIndex>,
    /// Their partners.
    pub partners: Option<BTreeSet<PartnerIndex>>,
    /// The limiter through which they come.
    pub limiter: Option<LimiterIndex>,
    /// Their operation.
    pub operation: Option<u64>,
    /// Received no sooner than this after the start of the run.
    pub after: Nanos,
    /// Received before this time after the start of the run.
    pub until: Option<Nanos>,
    /// First requests or retries only.
    pub kind: Option<RequestKind>,
}

/// What may happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// It is sent to a host that its limiter knows to be in this state.
    ReachesUnavailableHost {
        /// Draining or gone.
        state: HostState,
        /// Not counted within this time after the limiter was notified.
        grace: Nanos,
    },
    /// It is sent to a host that is warming up.
    ReachesWarmingUpHost,
    /// It is sent to this host.
    ReachesHost(HostIndex),
    /// It is sent to another zone than its limiter's.
    LeavesZone,
    /// Two of its attempts go to one host.
    ReachesHostTwice,
    /// It is rejected.
    Rejected,
    /// It is rejected without `retry_after`.
    RejectedWithoutRetryAfter,
    /// It is served.
    Served,
    /// It is failed.
    Failed,
}

/// A value that is measured over the selected requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Attempts of each request.
    Attempts,
    /// Executions of each operation, without deduplicated repeats.
    Executions,
    /// Attempts in flight at one moment.
    AttemptsInFlight,
    /// Units of forwarded requests.
    ForwardedUnits,
    /// Requests forwarded.
    Forwarded,
    /// Requests served.
    Served,
    /// Requests rejected.
    Rejected,
    /// Requests failed.
    Failed,
    /// Attempts to another zone.
    CrossZoneAttempts,
    /// Attempts to one host, as a share of all.
    HostShare(HostIndex),
}

/// Bounds of a value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// The lower bound.
    pub at_least: Option<f64>,
    /// The upper bound.
    pub at_most: Option<f64>,
    /// The value is a share of all selected requests.
    pub is_share: bool,
}

/// What must hold for the selected requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// An event never happens.
    Never(RequestEvent),
    /// An event happens to every request.
    Always(RequestEvent),
    /// A metric lies within bounds.
    Metric {
        /// The metric.
        metric: Metric,
        /// Its bounds.
        bounds: Bounds,
    },
    /// Each request has its answer within this time.
    AnsweredWithin(Nanos),
    /// The `retry_after` of rejections lies within bounds, in nanoseconds.
    RetryAfter(Bounds),
}

/// A condition, the requests that it is about, and where it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Requirement {
    /// Which requests.
    pub filter: RequestFilter,
    /// What must hold.
    pub condition: Condition,
    /// Its line in the file.
    pub line: u32,
}
