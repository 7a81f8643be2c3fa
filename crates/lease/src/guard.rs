//! The guard of an act: nothing is begun that may outlive the lease, and each act carries the token.

use crate::{Nanos, Token};

/// What allows acts while a lease is held. It is taken anew for each act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guard {
    token: Token,
    until: Nanos,
}

/// An act that may be begun: what it carries, and when it must be over or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Act {
    /// The token for the target to check.
    pub token: Token,
    /// When it must be over, by this process's clock.
    pub by: Nanos,
}

impl Guard {
    pub(crate) fn new(token: Token, until: Nanos) -> Self {
        Guard { token, until }
    }

    /// The token of this tenure.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Allows an act that takes `longest` at most, where that fits into what is left of the lease.
    pub fn begin(&self, now: Nanos, longest: Nanos) -> Option<Act> {
        let by = now.checked_add(longest)?;
        (by < self.until).then_some(Act {
            token: self.token,
            by,
        })
    }
}
