//! Export of use: what each customer used, written to a sink once, whoever dies meanwhile. A limiter keeps a spool (what
//! it is about to send, how that ended, and numbered batches of sums); the exporter, whoever holds the lease, fetches
//! batches in order and appends them to its tenure's file in the sink. A batch is known by its source and number, so
//! that writing it twice changes nothing. Decided without files, sockets or a clock; the reasons stand in
//! `docs/design-leases.md`.

mod line;
mod message;
mod sink;
mod spool;

pub use message::{Fault, Message, MOST_BYTES};
pub use sink::{Report, Sink, Written};
pub use spool::{Fate, Spool, Taken};

use std::collections::BTreeMap;

/// A customer.
pub type Customer = u64;

/// What was used, in thousandths of a unit: whole numbers add up the same in every order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Use {
    /// Units of attempts that a host has run.
    pub ran: u64,
    /// Units of attempts that a host may have run: nothing told how they ended.
    pub unknown: u64,
    /// How many attempts the first are of.
    pub runs: u32,
}

impl Use {
    /// Adds another's.
    pub fn add(&mut self, other: Use) {
        self.ran = self.ran.saturating_add(other.ran);
        self.unknown = self.unknown.saturating_add(other.unknown);
        self.runs = self.runs.saturating_add(other.runs);
    }
}

/// Use by customer.
pub type Sums = BTreeMap<Customer, Use>;

/// Thousandths of a unit from units; what is no number, or below nothing, is nothing.
pub fn thousandths(units: f64) -> u64 {
    (units.max(0.0) * 1_000.0).round() as u64
}

/// One limiter's spool: its name, and which spool of that name, should one have been lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// The limiter's name, without spaces.
    pub name: String,
    /// When the spool was begun, in nanoseconds of Unix time.
    pub epoch: u64,
}

/// A numbered part of a spool. Its sums never change once it has its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Its number, from 1.
    pub number: u64,
    /// The sums.
    pub sums: Sums,
}
