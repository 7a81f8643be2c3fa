//! Fencing at the target of a lease holder's operations.
//!
//! The expiry of a lease stops neither a holder whose process is paused in the middle of an operation nor an operation
//! that is delayed in transit. The target therefore stores the highest token that it has admitted and rejects lower
//! ones.

use crate::FencingToken;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The highest fencing token that a target has admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HighestToken(FencingToken);

/// The error for an operation whose token is lower than one that the target has already admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("stale fencing token: a later lease holder has used a token of round {}", highest.round)]
pub struct StaleToken {
    /// The highest token that the target has admitted.
    pub highest: FencingToken,
}

impl HighestToken {
    /// Admits an operation with a token that is at least the highest one so far.
    ///
    /// # Errors
    /// [`StaleToken`] if a higher token was admitted before; the operation must not take effect.
    pub fn admit(&mut self, token: FencingToken) -> Result<(), StaleToken> {
        if token < self.0 {
            return Err(StaleToken { highest: self.0 });
        }
        self.0 = token;
        Ok(())
    }
}

/// The reason why an operation may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BeginError {
    /// A later holder has acted, so that the operation must never begin.
    #[error(transparent)]
    Stale(#[from] StaleToken),
    /// Another operation is in progress; the caller tries again when it has ended.
    #[error("another operation is in progress")]
    InProgress,
}

/// A fence that admits one operation at a time, in the order of the tokens.
///
/// Tokens alone do not suffice for operations that take time: an operation that its holder abandoned in transit may
/// arrive just before the next holder's first operation. Both arrive in the order of their tokens and would run at the
/// same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusiveFence {
    highest: HighestToken,
    in_progress: bool,
}

impl ExclusiveFence {
    /// Begins an operation, which the caller ends with [`ExclusiveFence::end`].
    ///
    /// # Errors
    /// [`BeginError::InProgress`] if another operation has not ended yet, [`BeginError::Stale`] if a higher token was
    /// admitted before.
    pub fn begin(&mut self, token: FencingToken) -> Result<(), BeginError> {
        if self.in_progress {
            return Err(BeginError::InProgress);
        }
        self.highest.admit(token)?;
        self.in_progress = true;
        Ok(())
    }

    /// Ends the operation in progress.
    pub fn end(&mut self) {
        self.in_progress = false;
    }
}
