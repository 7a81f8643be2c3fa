//! Fingerprints of the state of a run. Runs with equal fingerprints continue in the same way, so a search needs to
//! visit each fingerprint only once.

use crate::counter::Counter;
use crate::event_queue::EventQueue;
use crate::executed_keys::ExecutedKeys;
use crate::host::Host;
use crate::limiter::Limiter;
use quartzcleat_decision::api::Nanos;
use quartzcleat_invariants::Fact;
use std::fmt::{self, Write as _};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A running hash over the facts of a run, without their times.
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

/// The parts of a run that determine how it continues.
pub(crate) struct RunState<'a> {
    pub(crate) history: &'a HistoryHash,
    pub(crate) now: Nanos,
    /// Choices made since the current event began; the other parts may not reflect them yet.
    pub(crate) choices: &'a [usize],
    pub(crate) limiters: &'a [Limiter],
    pub(crate) hosts: &'a [Host],
    pub(crate) counter: &'a Counter,
    pub(crate) executed_keys: &'a ExecutedKeys,
    pub(crate) queue: &'a EventQueue,
}

impl RunState<'_> {
    /// Computes the fingerprint. This is expensive, because it formats the whole state.
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
