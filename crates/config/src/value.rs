//! Errors of single configuration values.

/// The reason why a value is invalid. The message names the remedy; the reader adds file, line and key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// A list or a map where text is expected.
    #[error("expected text, not a list or a map")]
    NotText,
    /// Something other than `true` or `false`.
    #[error("expected true or false")]
    NotBool,
    /// An unknown keyword that resembles an accepted one.
    #[error("unknown value {keyword:?}; did you mean {nearest}?")]
    MisspelledKeyword {
        /// The unknown keyword.
        keyword: String,
        /// The accepted keyword that is most similar to it.
        nearest: String,
    },
    /// An unknown keyword that resembles no accepted one.
    #[error("unknown value {keyword:?}; expected one of {}", accepted.join(", "))]
    UnknownKeyword {
        /// The unknown keyword.
        keyword: String,
        /// All accepted keywords, in the order of the table.
        accepted: Vec<String>,
    },
    /// A number without a unit where a duration is expected.
    #[error("{number} has no unit; write a duration such as 250ms or 2s")]
    MissingUnit {
        /// The number without a unit.
        number: f64,
    },
    /// A boolean, list, map or null where a duration is expected.
    #[error("not a duration; write one such as 250ms or 2s")]
    NotDuration,
    /// Text that is not a duration.
    #[error("{text:?} is not a duration; write one such as 250ms or 2s")]
    InvalidDuration {
        /// The value as written in the file.
        text: String,
    },
    /// A duration that is negative, or too long to be represented.
    #[error("{text:?} is out of range; a duration must be from 0 to 292 years")]
    DurationOutOfRange {
        /// The value as written in the file.
        text: String,
    },
    /// A number that is negative or not finite.
    #[error("{number} is not a finite number of at least 0")]
    NegativeNumber {
        /// The rejected number.
        number: f64,
    },
    /// A value that is not a number.
    #[error("{text} is not a number")]
    NotNumber {
        /// The value as text, or `a list or map`.
        text: String,
    },
    /// A number that is not an integer or not in the accepted range.
    #[error("{number} is not a whole number from {min} to {max}")]
    CountOutOfRange {
        /// The rejected number.
        number: f64,
        /// The smallest accepted number.
        min: u64,
        /// The largest accepted number.
        max: u64,
    },
    /// A value that is not a fraction from 0 to 1.
    #[error("{text:?} is not a fraction from 0 to 1; write one such as 10% or 0.1")]
    InvalidFraction {
        /// The value as text; empty for lists and maps.
        text: String,
    },
}

impl ValueError {
    /// Creates the error for an unknown keyword: the misspelling of a similar accepted one if there is any.
    #[must_use]
    pub fn unknown_keyword(keyword: &str, accepted: &[&str]) -> Self {
        let keyword = keyword.to_owned();
        match crate::fault::nearest(&keyword, accepted.iter().copied()) {
            Some(nearest) => ValueError::MisspelledKeyword {
                nearest: nearest.to_owned(),
                keyword,
            },
            None => ValueError::UnknownKeyword {
                keyword,
                accepted: accepted.iter().map(ToString::to_string).collect(),
            },
        }
    }
}

/// Converts the error to its message, for callers that report faults as strings.
impl From<ValueError> for String {
    fn from(error: ValueError) -> Self {
        error.to_string()
    }
}
