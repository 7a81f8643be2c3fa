//! Usage, its sums by customer, and the batches that it is exported in.

use std::collections::BTreeMap;

const MILLIUNITS_PER_UNIT: f64 = 1_000.0;

/// A customer's identifier.
pub type Customer = u64;

/// Usage in thousandths of a unit: integers add up to the same sum in every order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Usage {
    /// Usage of attempts that a host has executed.
    pub executed_milliunits: u64,
    /// Usage of attempts whose outcome is not known, so that a host may have executed them.
    pub uncertain_milliunits: u64,
    /// How many attempts a host has executed.
    pub executed_attempts: u32,
}

impl Usage {
    /// Adds another usage, up to the greatest value.
    pub fn add(&mut self, other: Usage) {
        self.executed_milliunits = self
            .executed_milliunits
            .saturating_add(other.executed_milliunits);
        self.uncertain_milliunits = self
            .uncertain_milliunits
            .saturating_add(other.uncertain_milliunits);
        self.executed_attempts = self
            .executed_attempts
            .saturating_add(other.executed_attempts);
    }
}

/// Sums of usage by customer.
pub type UsageByCustomer = BTreeMap<Customer, Usage>;

/// Converts units to thousandths. NaN and negative values become 0.
pub fn to_milliunits(units: f64) -> u64 {
    (units.max(0.0) * MILLIUNITS_PER_UNIT).round() as u64
}

/// The spool that a batch comes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// The limiter's name, without spaces.
    pub name: String,
    /// When the spool was created, in nanoseconds of Unix time. It distinguishes the spools of one limiter.
    pub epoch: u64,
}

/// A numbered part of a spool. Its sums never change once it has its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The sequence number in its spool, from 1.
    pub sequence: u64,
    /// The sums.
    pub usage: UsageByCustomer,
}

/// Identifies a batch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId {
    /// The spool that it comes from.
    pub source: Source,
    /// Its sequence number there.
    pub sequence: u64,
}
