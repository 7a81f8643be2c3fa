//! Usage, its sums by customer, and the batches in which it is exported.

use std::collections::BTreeMap;

const MILLIUNITS_PER_UNIT: f64 = 1_000.0;

/// The numeric identifier of a customer.
pub type Customer = u64;

/// Usage in thousandths of a unit, as integers, whose sum does not depend on the order of addition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Usage {
    /// The usage of attempts that a host has executed, in thousandths of a unit.
    pub executed_milliunits: u64,
    /// The usage of attempts that a host may have executed, as their outcome is unknown, in thousandths of a unit.
    pub uncertain_milliunits: u64,
    /// The number of attempts that a host has executed.
    pub executed_attempts: u32,
}

impl Usage {
    /// Adds another usage; each field saturates at its maximum.
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

/// The sum of usage of each customer.
pub type UsageByCustomer = BTreeMap<Customer, Usage>;

/// Converts units to thousandths, rounded to the nearest integer. NaN and negative values become 0.
pub fn to_milliunits(units: f64) -> u64 {
    (units.max(0.0) * MILLIUNITS_PER_UNIT).round() as u64
}

/// The identity of a spool, from which batches come.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// The limiter's name, without spaces.
    pub name: String,
    /// The Unix time of the spool's creation in nanoseconds, which distinguishes the spools of one limiter.
    pub epoch: u64,
}

/// A numbered part of a spool's usage, which never changes once it has its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The sequence number in the spool, starting at 1.
    pub sequence: u64,
    /// The usage of each customer in the batch.
    pub usage: UsageByCustomer,
}

/// The identity of a batch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId {
    /// The spool that the batch comes from.
    pub source: Source,
    /// The sequence number in that spool, starting at 1.
    pub sequence: u64,
}
