//! What a target of acts keeps: the greatest token that it has seen. It is what stops a holder that was paused in the
//! middle of an act, which no clock can.

use crate::Token;
use thiserror::Error;

/// The greatest token seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Highest(Token);

/// An act came with a token below one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a later holder has acted: its token is of round {}", seen.round)]
pub struct Outdated {
    /// The greatest token seen.
    pub seen: Token,
}

impl Highest {
    /// Takes an act's token.
    ///
    /// # Errors
    /// Where a greater one was seen: the act is refused whole.
    pub fn admit(&mut self, token: Token) -> Result<(), Outdated> {
        if token < self.0 {
            return Err(Outdated { seen: self.0 });
        }
        self.0 = token;
        Ok(())
    }
}
