//! Ranges of seeds on the command line.

use std::num::ParseIntError;
use std::ops::RangeInclusive;
use std::str::FromStr;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// A range of seeds, the last one included: `1..20`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// The last seed.
    pub last: u64,
}

/// Why a text is not a range of seeds.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum SeedRangeError {
    /// There are no two ends.
    #[error("write seeds as 1..20")]
    Form,
    /// An end is not a number.
    #[error("{text:?} is no seed")]
    Seed {
        /// The end.
        text: String,
        /// The cause.
        source: ParseIntError,
    },
    /// The first seed is greater than the last one.
    #[error("{first}..{last} holds no seed")]
    Empty {
        /// The first seed.
        first: u64,
        /// The last seed.
        last: u64,
    },
}

impl SeedRange {
    /// All seeds in their order.
    pub(crate) fn all(self) -> RangeInclusive<u64> {
        self.first..=self.last
    }

    /// Whether a seed is in the range.
    pub(crate) fn contains(self, seed: u64) -> bool {
        self.all().contains(&seed)
    }

    /// The number of seeds.
    pub(crate) fn count(self) -> u64 {
        self.last - self.first + 1
    }
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, last) = text.split_once("..").ok_or(SeedRangeError::Form)?;
        let first = parse_seed(first)?;
        let last = parse_seed(last)?;
        if first > last {
            return Err(SeedRangeError::Empty { first, last });
        }
        Ok(SeedRange { first, last })
    }
}

fn parse_seed(text: &str) -> Result<u64, SeedRangeError> {
    text.parse().map_err(|source| SeedRangeError::Seed {
        text: text.to_owned(),
        source,
    })
}
