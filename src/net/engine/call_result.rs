//! How a call to a host ended.

use crate::api::{LoadReport, Outcome};

/// How a call to a host ended.
pub struct CallResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The value of a good attempt.
    pub value: Vec<u8>,
    /// The load report in the answer.
    pub load: LoadReport,
    /// The figures on usage in the answer.
    pub used: UsageFigures,
}

/// The figures on usage in an answer; zero: not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageFigures {
    /// The customer's usage by the host's meter.
    pub metered: u64,
    /// The request's true units, where they were estimated.
    pub units: f64,
}

impl From<Outcome> for CallResult {
    fn from(outcome: Outcome) -> Self {
        CallResult {
            outcome,
            value: Vec::new(),
            load: LoadReport::default(),
            used: UsageFigures::default(),
        }
    }
}
