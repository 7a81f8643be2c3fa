//! Collects the records of a run and tracks the attempts in flight at each host.

use quartzcleat_decision::api::{AttemptIndex, Nanos, RequestId};
use quartzcleat_invariants::{Fact, HostIndex, Record};
use std::collections::BTreeMap;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptIndex,
}

/// Collects records in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    records: Vec<Record>,
    /// The host of each attempt in flight.
    in_flight: BTreeMap<AttemptId, HostIndex>,
}

impl Recorder {
    /// Records an event. The end of an attempt is recorded only once, although several tasks may observe it.
    pub(crate) fn record(&mut self, at: Nanos, event: Fact) {
        if !self.is_repeated_end(&event) {
            self.track_attempt(&event);
            self.records.push(Record { at, fact: event });
        }
    }

    /// Returns whether an event is the end of an attempt that is not in flight any more.
    fn is_repeated_end(&self, event: &Fact) -> bool {
        match *event {
            Fact::AttemptEnded {
                request, attempt, ..
            } => !self.in_flight.contains_key(&AttemptId { request, attempt }),
            _ => false,
        }
    }

    /// Updates the attempts in flight.
    fn track_attempt(&mut self, event: &Fact) {
        match *event {
            Fact::AttemptSent {
                request,
                attempt,
                host,
                ..
            } => {
                self.in_flight.insert(AttemptId { request, attempt }, host);
            }
            Fact::AttemptEnded {
                request, attempt, ..
            } => {
                self.in_flight.remove(&AttemptId { request, attempt });
            }
            _ => {}
        }
    }

    /// Returns the attempts in flight at a host.
    pub(crate) fn in_flight_at(&self, host: HostIndex) -> Vec<AttemptId> {
        self.in_flight
            .iter()
            .filter(|(_, at)| **at == host)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Removes and returns all records.
    pub(crate) fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }
}
