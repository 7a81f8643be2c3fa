//! A fingerprint of the state of a run. Two runs with equal fingerprints continue in the same way, so that a search
//! visits the state once.

use crate::counter::Counter;
use crate::event_queue::EventQueue;
use crate::executed_keys::ExecutedKeys;
use crate::host::Host;
use crate::limiter::Limiter;
use quartzcleat_decision::api::Nanos;
use quartzcleat_invariants::Fact;
use std::fmt::{self, Write as _};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A hash over the facts of a run so far, without their times.
#[derive(Clone, Debug, Default)]
pub(crate) struct HistoryHash(DefaultHasher);

impl HistoryHash {
    pub(crate) fn add(&mut self, fact: &Fact) {
        // Writing to a hasher cannot fail.
        let _ = write!(self, "{fact:?}");
    }
}

impl fmt::Write for HistoryHash {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        text.hash(&mut self.0);
        Ok(())
    }
}

/// The parts of a run on which its future depends.
pub(crate) struct RunState<'a> {
    pub(crate) history: &'a HistoryHash,
    pub(crate) now: Nanos,
    /// Choices since the last event, which the other parts may not show yet.
    pub(crate) choices: &'a [usize],
    pub(crate) limiters: &'a [Limiter],
    pub(crate) hosts: &'a [Host],
    pub(crate) counter: &'a Counter,
    pub(crate) executed_keys: &'a ExecutedKeys,
    pub(crate) queue: &'a EventQueue,
}

impl RunState<'_> {
    /// The fingerprint. It formats the whole state and takes time accordingly.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hash = self.history.clone();
        // Writing to a hasher cannot fail.
        let _ = write!(
            hash,
            "{} {:?} {:?} {:?} {:?} {:?}",
            self.now, self.choices, self.limiters, self.hosts, self.counter, self.executed_keys
        );
        for scheduled in self.queue.in_order() {
            let _ = write!(hash, " {} {:?}", scheduled.at, scheduled.event);
        }
        hash.0.finish()
    }
}
