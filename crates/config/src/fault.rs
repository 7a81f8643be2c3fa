//! Configuration faults: each names its location, its key and the remedy.

use crate::tree::Place;
use std::fmt;
use std::sync::Arc;

/// One fault of a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    /// The file name given by the caller.
    pub file: Arc<str>,
    /// The location of the fault in the file.
    pub place: Place,
    /// The path of the key; empty if the fault concerns the whole file.
    pub key: String,
    /// The message: the problem and, where it is not obvious, the remedy.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.file, self.place.line)?;
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}", self.problem)
    }
}

/// The faults of a file, in the order in which they were found. Displayed as one line per fault.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Appends a fault whose message is the text of `problem`.
    pub fn add(
        &mut self,
        file: &Arc<str>,
        place: Place,
        key: impl Into<String>,
        problem: impl fmt::Display,
    ) {
        self.0.push(Fault {
            file: file.clone(),
            place,
            key: key.into(),
            problem: problem.to_string(),
        });
    }

    /// Returns whether no fault was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `value` if no fault was found.
    ///
    /// # Errors
    /// Returns the faults if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Faults> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.0.iter().enumerate() {
            let end = if number + 1 < self.0.len() { "\n" } else { "" };
            write!(formatter, "{fault}{end}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Jaro-Winkler similarity (0 to 1) above which an unknown word may be a misspelling of a known one.
const MIN_SIMILARITY: f64 = 0.82;

/// Returns the known word that is most similar to `unknown`, for "did you mean" hints. Returns `None` if no word is
/// similar enough.
pub fn nearest<'a>(unknown: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(unknown, candidate), candidate))
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .filter(|(similarity, _)| *similarity > MIN_SIMILARITY)
        .map(|(_, candidate)| candidate)
}
