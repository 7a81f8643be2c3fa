//! The end of a call, from the view of its connection.

use crate::api::Outcome;
use crate::net::engine::CallResult;

/// The end of a call.
pub struct CallEnd {
    /// The result of the call.
    pub result: CallResult,
    /// Whether the connection can be used for another call.
    pub reusable: bool,
}

impl CallEnd {
    /// Creates the end of a call whose connection cannot be reused.
    pub fn not_reusable(result: CallResult) -> Self {
        CallEnd {
            result,
            reusable: false,
        }
    }
}

impl From<Outcome> for CallEnd {
    /// Creates the end of a call whose connection cannot be reused.
    fn from(outcome: Outcome) -> Self {
        CallEnd::not_reusable(outcome.into())
    }
}
