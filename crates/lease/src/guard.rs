//! Permission for single operations while a lease is held.

use crate::{FencingToken, Nanos};

/// A lease that is held at this moment. It is taken from the proposer anew for each operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guard {
    token: FencingToken,
    expires_at: Nanos,
}

/// An operation that may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PermittedOperation {
    /// The fencing token that the operation's target checks.
    pub token: FencingToken,
    /// When the operation must have ended or been abandoned, on this process's clock.
    pub deadline: Nanos,
}

impl Guard {
    pub(crate) fn new(token: FencingToken, expires_at: Nanos) -> Self {
        Guard { token, expires_at }
    }

    /// The fencing token, which stays the same for as long as one holder renews its lease.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Permits an operation that takes at most `max_duration`, provided that it ends before the lease expires.
    pub fn permit(&self, now: Nanos, max_duration: Nanos) -> Option<PermittedOperation> {
        let deadline = now.checked_add(max_duration)?;
        (deadline < self.expires_at).then_some(PermittedOperation {
            token: self.token,
            deadline,
        })
    }
}
