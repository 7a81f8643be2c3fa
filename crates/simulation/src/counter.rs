//! The counter: totals by name, their lives, its parts and its line.

use crate::scenario::{CounterMode, CounterSetup};
use quartzcleat_decision::api::{Nanos, Outcome};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

#[derive(Clone, Debug)]
struct Total {
    value: f64,
    until: Nanos,
}

/// The counter as it stands.
#[derive(Clone, Debug)]
pub struct Counter {
    /// What it does.
    pub mode: CounterMode,
    service: Nanos,
    /// When each part has done all that waits there.
    parts: Vec<Nanos>,
    totals: BTreeMap<String, Total>,
}

/// No name lives longer than this.
const LONGEST_LIFE: Nanos = 60_000_000_000;

impl Counter {
    /// A counter that holds nothing.
    pub fn new(setup: &CounterSetup) -> Self {
        let parts = vec![0; setup.parts.max(1) as usize];
        Counter {
            mode: setup.mode,
            service: setup.service,
            parts,
            totals: BTreeMap::new(),
        }
    }

    /// Forgets all totals.
    pub fn empty(&mut self) {
        self.totals.clear();
    }

    /// A call has arrived: when it is done, or `None` where nothing ever comes of it.
    pub fn arrive(&mut self, name: &str, now: Nanos) -> Option<Nanos> {
        let factor = match self.mode {
            CounterMode::Silent => return None,
            CounterMode::Refusing => return Some(now),
            CounterMode::Normal => 1.0,
            CounterMode::Slow(factor) => factor,
        };
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let part = hasher.finish() as usize % self.parts.len();
        let done = self.parts[part].max(now) + (self.service as f64 * factor) as Nanos;
        self.parts[part] = done;
        Some(done)
    }

    /// A call has had its turn.
    pub fn add(&mut self, name: &str, amount: f64, life: Nanos, now: Nanos) -> (Outcome, f64) {
        match self.mode {
            CounterMode::Silent => return (Outcome::Timeout, 0.0),
            CounterMode::Refusing => return (Outcome::Rejected, 0.0),
            CounterMode::Normal | CounterMode::Slow(_) => {}
        }
        self.totals.retain(|_, total| total.until > now);
        let until = now + life.clamp(1_000_000, LONGEST_LIFE);
        let total = self
            .totals
            .entry(name.to_owned())
            .or_insert(Total { value: 0.0, until });
        total.value += amount;
        (Outcome::Good, total.value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn names_have_totals_and_lives() {
        let mut counter = Counter::new(&CounterSetup::default());
        assert_eq!(counter.add("a", 2.0, 50 * MS, 0), (Outcome::Good, 2.0));
        assert_eq!(
            counter.add("a", 3.0, 9_000 * MS, 40 * MS),
            (Outcome::Good, 5.0)
        );
        assert_eq!(counter.add("b", 0.0, MS, 41 * MS), (Outcome::Good, 0.0));
        // The life is the first call's.
        assert_eq!(
            counter.add("a", 1.0, 50 * MS, 51 * MS),
            (Outcome::Good, 1.0)
        );
        counter.empty();
        assert_eq!(
            counter.add("a", 1.0, 50 * MS, 52 * MS),
            (Outcome::Good, 1.0)
        );
    }

    #[test]
    fn calls_wait_for_their_part() {
        let mut counter = Counter::new(&CounterSetup::default());
        assert_eq!(counter.arrive("a", 0), Some(1_200_000));
        assert_eq!(counter.arrive("a", 0), Some(2_400_000));
        counter.mode = CounterMode::Slow(5.0);
        assert_eq!(counter.arrive("a", 10 * MS), Some(16 * MS));
        counter.mode = CounterMode::Silent;
        assert_eq!(counter.arrive("a", 20 * MS), None);
        assert_eq!(counter.add("a", 1.0, MS, 20 * MS).0, Outcome::Timeout);
    }
}
