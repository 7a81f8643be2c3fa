//! The guard that permits single operations while a lease is held.

use crate::{FencingToken, Nanos};

/// A lease that was held when the guard was created. Each operation requires a new guard from the proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guard {
    token: FencingToken,
    expires_at: Nanos,
}

/// An operation that may start at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PermittedOperation {
    /// The fencing token that the operation's target checks.
    pub token: FencingToken,
    /// The time, on this process's clock, by which the operation must have ended or been abandoned.
    pub deadline: Nanos,
}

impl Guard {
    pub(crate) fn new(token: FencingToken, expires_at: Nanos) -> Self {
        Guard { token, expires_at }
    }

    /// Returns the fencing token, which does not change for as long as the holder renews its lease.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Permits an operation that takes at most `max_duration`. Returns `None` unless it would end before the lease
    /// expires.
    pub fn permit(&self, now: Nanos, max_duration: Nanos) -> Option<PermittedOperation> {
        let deadline = now.checked_add(max_duration)?;
        (deadline < self.expires_at).then_some(PermittedOperation {
            token: self.token,
            deadline,
        })
    }
}
