//! Why a value of an expectation or an installation is invalid.

use quartzcleat_config::fault::nearest;
use quartzcleat_config::formula::FormulaError;

/// A value is invalid. The text names the remedy; the reader adds file, line and key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum ValueError {
    /// A value that the configuration's reader rejects.
    #[error(transparent)]
    Value(#[from] quartzcleat_config::ValueError),
    /// A formula over the settings that cannot be evaluated.
    #[error(transparent)]
    Formula(#[from] FormulaError),
    /// A name that is not known, although it resembles one that is.
    #[error("no {kind} {name:?}; did you mean {nearest}?")]
    MisspelledName {
        kind: &'static str,
        name: String,
        nearest: String,
    },
    /// A name that resembles none of those known.
    #[error("no {kind} {name:?}; known: {}", known.join(", "))]
    UnknownName {
        kind: &'static str,
        name: String,
        known: Vec<String>,
    },
    /// An empty list of times.
    #[error("no time; write one, or a list")]
    NoTime,
    /// An empty list of keywords.
    #[error("none; write one, or a list")]
    NoKeyword,
    /// A factor of a slow counter that is out of range.
    #[error("{factor:?} is not a multiple from 1 up")]
    InvalidFactor { factor: String },
    /// Units that are out of range.
    #[error("{units} is not above 0 and up to {max} (familyInfo.unitsTop)")]
    UnitsOutOfRange { units: f64, max: f64 },
    /// A number of requests that is out of range.
    #[error("{count} is not from 1 to {max}")]
    CountOutOfRange { count: f64, max: usize },
    /// A mark that no request of the steps has.
    #[error("no request is marked {name:?}")]
    UnknownMark { name: String },
    /// An event that cannot be demanded of every request.
    #[error("cannot be required of every request; use never")]
    NotForEveryRequest,
}

impl ValueError {
    /// The error for a name that is not among those known.
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
