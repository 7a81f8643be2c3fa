//! Attempts in flight.

use crate::api::{AttemptIndex, CustomerId, RequestId};
use crate::hosts::{AttemptResult, SentAttempt};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptIndex,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) sent: SentAttempt,
    pub(super) customer: CustomerId,
    /// Its answer has begun: the host's work is done, while the customer's cap on concurrent attempts still
    /// counts it.
    pub(super) has_stream_started: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) result: AttemptResult,
    /// Whether the request is finished, by this outcome or before it.
    pub(crate) is_request_finished: bool,
    /// The request's true units where they were an estimate; zero: not reported.
    pub(crate) true_units: f64,
}
