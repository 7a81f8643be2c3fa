//! Faults of a file: each names its place, its key and the remedy.

use crate::tree::Place;
use std::fmt;
use std::sync::Arc;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    /// The file's name, as it was given.
    pub file: Arc<str>,
    /// The place in it.
    pub place: Place,
    /// The key with those above it; empty where the fault concerns the whole file.
    pub key: String,
    /// The problem and its remedy.
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

/// All faults of a file, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
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

    /// Whether there are no faults.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The value, if there are no faults.
    ///
    /// # Errors
    /// There are faults.
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

/// Two words with a higher similarity may be one word and its misspelling.
const MIN_SIMILARITY: f64 = 0.82;

/// The known word that is most similar to an unknown one, for "did you mean"; none where no word is similar enough.
pub fn nearest<'a>(unknown: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(unknown, candidate), candidate))
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .filter(|(similarity, _)| *similarity > MIN_SIMILARITY)
        .map(|(_, candidate)| candidate)
}
