//! The records of customers, whose number is limited.
//!
//! An unknown customer takes the place of a known one (the clock algorithm): the known ones are looked at in turn, and one
//! that has sent a request since it was last looked at stays. So customers that send often keep their records, however many
//! others come once.

use super::record::CustomerRecord;
use crate::api::CustomerId;
use std::collections::btree_map::{BTreeMap, Entry};
use std::collections::VecDeque;

/// Number of candidates that are looked at for one new customer.
const MAX_CANDIDATES_PER_CUSTOMER: usize = 16;
/// Number of candidates per record, beyond which the candidates are listed anew.
const MAX_CANDIDATES_PER_RECORD: usize = 2;
/// Number of candidates that are kept in any case.
const MIN_CANDIDATES: usize = 64;

/// Whether the record of a customer may be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CustomerAdmission {
    /// The customer has a record, or there is a place for one.
    Admitted,
    /// All places are taken by customers that send often or whose requests are in progress.
    Full,
}

/// The records of customers.
#[derive(Debug)]
pub(super) struct CustomerTable {
    records: BTreeMap<CustomerId, CustomerRecord>,
    /// Every customer with a record, in the order in which they are looked at. May name customers without a record, and
    /// customers twice.
    candidates: VecDeque<CustomerId>,
    /// Number of records past which no request of a new customer is admitted.
    max_records: usize,
}

impl CustomerTable {
    /// Creates a table without records and without a limit.
    pub(super) fn new() -> Self {
        CustomerTable {
            records: BTreeMap::new(),
            candidates: VecDeque::new(),
            max_records: usize::MAX,
        }
    }

    /// Limits the number of records.
    pub(super) fn set_max_records(&mut self, max_records: usize) {
        self.max_records = max_records;
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the records, in the order of the customers' ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (CustomerId, &CustomerRecord)> {
        self.records.iter().map(|(id, record)| (*id, record))
    }

    /// Returns the record of a customer; `None` if it is unknown.
    pub(super) fn get(&self, customer: CustomerId) -> Option<&CustomerRecord> {
        self.records.get(&customer)
    }

    /// Returns the mutable record of a customer; `None` if it is unknown.
    pub(super) fn get_mut(&mut self, customer: CustomerId) -> Option<&mut CustomerRecord> {
        self.records.get_mut(&customer)
    }

    /// Returns the record of a customer, which `create` creates for an unknown one, whatever the limit.
    pub(super) fn get_or_insert_with(
        &mut self,
        customer: CustomerId,
        create: impl FnOnce() -> CustomerRecord,
    ) -> &mut CustomerRecord {
        match self.records.entry(customer) {
            Entry::Occupied(occupied) => occupied.into_mut(),
            Entry::Vacant(vacant) => {
                self.candidates.push_back(customer);
                vacant.insert(create())
            }
        }
    }

    /// Admits a request of a customer, and makes a place for an unknown one, if need be by removing another record.
    pub(super) fn admit(&mut self, customer: CustomerId) -> CustomerAdmission {
        if let Some(record) = self.records.get_mut(&customer) {
            record.has_sent_again = true;
            return CustomerAdmission::Admitted;
        }
        if self.records.len() < self.max_records {
            return CustomerAdmission::Admitted;
        }
        for _ in 0..MAX_CANDIDATES_PER_CUSTOMER {
            self.look_at_next_candidate();
            if self.records.len() < self.max_records {
                return CustomerAdmission::Admitted;
            }
        }
        CustomerAdmission::Full
    }

    /// Removes the record of the next candidate, unless it has sent a request since it was last looked at, or its requests
    /// are in progress.
    fn look_at_next_candidate(&mut self) {
        let Some(candidate) = self.candidates.pop_front() else {
            return;
        };
        let Some(record) = self.records.get_mut(&candidate) else {
            return;
        };
        let has_sent_again = std::mem::take(&mut record.has_sent_again);
        if has_sent_again || record.has_request_in_progress() {
            self.candidates.push_back(candidate);
        } else {
            self.records.remove(&candidate);
        }
    }

    /// Removes the records that are not needed any more.
    pub(super) fn retain(&mut self, is_needed: impl Fn(&CustomerRecord) -> bool) {
        self.records.retain(|_, record| is_needed(record));
        let max_candidates = (MAX_CANDIDATES_PER_RECORD * self.records.len()).max(MIN_CANDIDATES);
        if self.candidates.len() > max_candidates {
            self.list_candidates();
        }
    }

    /// Lists each customer with a record once, the one that has not been seen for longest first.
    fn list_candidates(&mut self) {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| record.last_seen);
        let customers = records.into_iter().map(|(customer, _)| *customer);
        self.candidates = customers.collect();
    }
}
