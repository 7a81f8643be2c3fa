//! Errors for invalid values in expectations and installations.

use quartzcleat_config::fault::nearest;
use quartzcleat_config::formula::FormulaError;

/// An invalid value. The message states the remedy; the reader adds the file, the line and the key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum ValueError {
    /// A value that the reader of the configuration rejects.
    #[error(transparent)]
    Value(#[from] quartzcleat_config::ValueError),
    /// A formula over the settings that cannot be evaluated.
    #[error(transparent)]
    Formula(#[from] FormulaError),
    /// An unknown name that resembles a known one.
    #[error("unknown {kind} {name:?}; did you mean {nearest}?")]
    MisspelledName {
        kind: &'static str,
        name: String,
        nearest: String,
    },
    /// An unknown name that resembles no known one.
    #[error("unknown {kind} {name:?}; known: {}", known.join(", "))]
    UnknownName {
        kind: &'static str,
        name: String,
        known: Vec<String>,
    },
    /// An empty list of times.
    #[error("empty; write a time or a list of times")]
    EmptyTimes,
    /// An empty list of keywords.
    #[error("empty; write a keyword or a list of keywords")]
    EmptyKeywords,
    /// A slow counter whose factor is not a number or is out of range.
    #[error("{factor:?} is not a factor from 1 to {max}")]
    InvalidFactor { factor: String, max: f64 },
    /// Units of a request that are not positive or exceed the largest request of the settings.
    #[error("{units} units are not above 0 and at most {max} (familyInfo.unitsTop)")]
    UnitsOutOfRange { units: f64, max: f64 },
    /// A step's number of requests that is out of range.
    #[error("{count} is not a number of requests from 1 to {max}")]
    CountOutOfRange { count: f64, max: usize },
    /// A mark that no request of the steps carries.
    #[error("no request is marked {name:?}")]
    UnknownMark { name: String },
    /// An event that `never` accepts but `always` does not.
    #[error("the event cannot be required of every request; use never")]
    NotForEveryRequest,
}

impl ValueError {
    /// Returns the error for a name that is not in `known`, with the most similar known name if there is one.
    pub(crate) fn unknown_name(kind: &'static str, name: &str, known: &[String]) -> Self {
        let name = name.to_owned();
        match nearest(&name, known.iter().map(String::as_str)) {
            Some(nearest) => ValueError::MisspelledName {
                kind,
                nearest: nearest.to_owned(),
                name,
            },
            None => ValueError::UnknownName {
                kind,
                name,
                known: known.to_vec(),
            },
        }
    }
}
