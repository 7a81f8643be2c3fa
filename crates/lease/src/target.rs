//! What a target of acts keeps: the greatest token that it has seen, and whether an act is under way. It is what stops a
//! holder that was paused in the middle of an act, which no clock can, and an act that was long on its way.

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

/// Why an act is not begun at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotNow {
    /// Never: a later holder has acted.
    #[error(transparent)]
    Outdated(#[from] Outdated),
    /// Another act is under way: ask again when it has ended.
    #[error("another act is under way")]
    UnderWay,
}

/// Acts one at a time, in the order of their tokens. Guards against an act that its holder gave up on while it was on its
/// way: it may arrive in the same moment as the next holder's first, and in the order of tokens, so that tokens alone let
/// both in at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OneAtATime {
    highest: Highest,
    under_way: bool,
}

impl OneAtATime {
    /// Begins an act.
    ///
    /// # Errors
    /// Where it is not to be begun now, or never.
    pub fn begin(&mut self, token: Token) -> Result<(), NotNow> {
        if self.under_way {
            return Err(NotNow::UnderWay);
        }
        self.highest.admit(token)?;
        self.under_way = true;
        Ok(())
    }

    /// The act under way has ended.
    pub fn end(&mut self) {
        self.under_way = false;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_act_waits_for_the_one_under_way_and_an_older_one_that_waited_is_refused() {
        let token = |round| Token {
            round,
            bidder: 0,
            boot: 1,
        };
        let mut target = OneAtATime::default();
        assert_eq!(target.begin(token(1)), Ok(()));
        assert_eq!(target.begin(token(2)), Err(NotNow::UnderWay));
        target.end();
        assert_eq!(target.begin(token(2)), Ok(()));
        target.end();
        assert_eq!(
            target.begin(token(1)),
            Err(NotNow::Outdated(Outdated { seen: token(2) }))
        );
        assert_eq!(
            target.begin(token(2)),
            Ok(()),
            "one that is refused is not under way"
        );
    }
}
