//! Results of calls to hosts.

use super::value::Value;
use crate::api::{LoadReport, Outcome};

/// The result of a call to a host.
pub struct CallResult {
    /// Whether the call succeeded, and how it failed if not.
    pub outcome: Outcome,
    /// The value of a good attempt; empty for any other call, and for a value that was streamed.
    pub value: Value,
    /// The load report in the answer; the default if there is none.
    pub load: LoadReport,
    /// The usage figures in the answer.
    pub usage: UsageFigures,
}

/// The usage figures in an answer. A zero figure was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageFigures {
    /// The customer's usage as metered by the host.
    pub metered: u64,
    /// The units that the request actually took, if the announced units were an estimate.
    pub units: f64,
}

impl From<Outcome> for CallResult {
    fn from(outcome: Outcome) -> Self {
        CallResult {
            outcome,
            value: Vec::new().into(),
            load: LoadReport::default(),
            usage: UsageFigures::default(),
        }
    }
}
