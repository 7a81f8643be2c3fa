//! Why a value of a file is invalid.

/// A value is invalid. The text names the remedy; the reader adds file, line and key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// A list or a map where a text is expected.
    #[error("not a text")]
    NotText,
    /// Something other than `true` or `false`.
    #[error("neither true nor false")]
    NotFlag,
    /// A keyword that is not accepted, although it resembles one that is.
    #[error("{keyword:?} is not known; did you mean {nearest}?")]
    MisspelledKeyword {
        /// The keyword.
        keyword: String,
        /// The accepted keyword that resembles it most.
        nearest: String,
    },
    /// A keyword that resembles none of those accepted.
    #[error("{keyword:?} is not known; one of {}", accepted.join(", "))]
    UnknownKeyword {
        /// The keyword.
        keyword: String,
        /// All accepted keywords.
        accepted: Vec<String>,
    },
    /// A number where a duration is expected.
    #[error("{number} has no unit; write a time such as 250ms or 2s")]
    MissingUnit {
        /// The number.
        number: f64,
    },
    /// Something other than a text where a duration is expected.
    #[error("not a time; write one such as 250ms or 2s")]
    NotTime,
    /// A text that is no duration.
    #[error("{text:?} is not a time; write one such as 250ms or 2s")]
    InvalidTime {
        /// The text.
        text: String,
    },
    /// A duration that is negative or cannot be represented.
    #[error("{text:?} is not between 0 and 292 years")]
    TimeOutOfRange {
        /// The text.
        text: String,
    },
    /// A number that is negative or not finite.
    #[error("{number} is not a number from 0 up")]
    NegativeNumber {
        /// The number.
        number: f64,
    },
    /// Something other than a number.
    #[error("{text} is not a number")]
    NotNumber {
        /// The value as text, or its kind.
        text: String,
    },
    /// A number that is not whole or not in the accepted range.
    #[error("{number} is not a whole number from {min} to {max}")]
    CountOutOfRange {
        /// The number.
        number: f64,
        /// The lowest accepted number.
        min: u64,
        /// The highest accepted number.
        max: u64,
    },
    /// Something that is not a fraction from 0 to 1.
    #[error("{text:?} is not a share; write one such as 10% or 0.1")]
    InvalidShare {
        /// The value as text.
        text: String,
    },
}

impl ValueError {
    /// The error for a keyword that is not one of those accepted.
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

/// For readers whose own errors are the text of a fault.
impl From<ValueError> for String {
    fn from(error: ValueError) -> Self {
        error.to_string()
    }
}
