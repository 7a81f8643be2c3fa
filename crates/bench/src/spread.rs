//! The spread of repeated measurements.

use std::fmt;

/// The least, the median and the greatest of some values; not a number where there are none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Spread {
    /// The least value.
    pub least: f64,
    /// The median; of an even number of values the upper one.
    pub median: f64,
    /// The greatest value.
    pub most: f64,
}

impl Spread {
    /// The spread of some values.
    pub(crate) fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Spread {
            least: at(0),
            median: at(values.len() / 2),
            most: at(values.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Spread {
            least,
            median,
            most,
        } = self;
        write!(formatter, "{least:.2} / {median:.2} / {most:.2}")
    }
}
