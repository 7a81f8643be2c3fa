//! A reservation out of the memory budget.

use super::{MemoryBudget, Owner};
use std::fmt;
use std::rc::Rc;

/// A number of reserved bytes, which are given back when the reservation is dropped.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    owner: Owner,
    bytes: usize,
}

impl Reservation {
    pub(super) fn new(budget: &Rc<MemoryBudget>, owner: Owner, bytes: usize) -> Self {
        budget.add(owner, bytes);
        Reservation {
            budget: budget.clone(),
            owner,
            bytes,
        }
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of reserved bytes, even past the capacity of the budget.
    pub fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.add(self.owner, bytes - self.bytes);
        } else if bytes < self.bytes {
            self.budget.subtract(self.owner, self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Counts the bytes for another owner from now on.
    #[must_use]
    pub fn transferred_to(mut self, owner: Owner) -> Self {
        self.budget.transfer(self.owner, owner, self.bytes);
        self.owner = owner;
        self
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.subtract(self.owner, self.bytes);
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Reservation")
            .field("owner", &self.owner)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}
