//! How a call ended, for its connection.

use crate::api::Outcome;
use crate::net::engine::CallResult;

/// How a call ended, and whether its connection can be used again.
pub struct CallEnd {
    /// How the call ended.
    pub result: CallResult,
    /// The connection can carry another call.
    pub reusable: bool,
}

impl CallEnd {
    /// The end of a call whose connection is of no more use.
    pub fn last(result: CallResult) -> Self {
        CallEnd {
            result,
            reusable: false,
        }
    }
}

impl From<Outcome> for CallEnd {
    /// The end of a call whose connection is of no more use.
    fn from(outcome: Outcome) -> Self {
        CallEnd::last(outcome.into())
    }
}
