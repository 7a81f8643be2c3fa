//! What is wrong in a file, and where: each fault names its place, its key and what would do.

use crate::tree::Place;
use std::fmt;
use std::sync::Arc;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    /// The file's name, as it was given.
    pub file: Arc<str>,
    /// Where in it.
    pub place: Place,
    /// The key, with those above it.
    pub key: String,
    /// What is wrong, and what would do.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.place.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.problem)
    }
}

/// All faults of one reading, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds one at a node's place.
    pub fn add(
        &mut self,
        file: &Arc<str>,
        place: Place,
        key: impl Into<String>,
        problem: impl Into<String>,
    ) {
        self.0.push(Fault {
            file: file.clone(),
            place,
            key: key.into(),
            problem: problem.into(),
        });
    }

    /// Whether nothing is wrong.
    pub fn none(&self) -> bool {
        self.0.is_empty()
    }

    /// `Ok` where nothing is wrong.
    ///
    /// # Errors
    /// All faults, where there are any.
    pub fn or<T>(self, value: T) -> Result<T, Faults> {
        if self.none() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.0.iter().enumerate() {
            let end = if number + 1 < self.0.len() { "\n" } else { "" };
            write!(f, "{fault}{end}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// The known word nearest to one that is not known, where one is near: for "did you mean".
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), candidate));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    best.filter(|(score, _)| *score > 0.82)
        .map(|(_, candidate)| candidate)
}
