//! Attempts in flight.

use crate::api::{AttemptIndex, CustomerId, RequestId};
use crate::hosts::{AttemptResult, SentAttempt};

/// Key of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptIndex,
}

/// Attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) sent: SentAttempt,
    pub(super) customer: CustomerId,
    /// Whether the streamed answer has started. The attempt then no longer counts against the host, but still
    /// counts against the customer's limit on concurrent attempts.
    pub(super) has_stream_started: bool,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) result: AttemptResult,
    /// Whether the request is finished, by this outcome or before it.
    pub(crate) is_request_finished: bool,
    /// True units of a request whose units were an estimate; zero if not reported.
    pub(crate) true_units: f64,
}
