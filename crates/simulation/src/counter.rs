//! The simulated counter: named totals that expire, and shards that execute calls one after another.

use crate::scenario::{CounterMode, CounterSetup};
use quartzcleat_decision::api::{Nanos, Outcome};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

#[cfg(test)]
mod tests;

/// Maximum lifetime of a total: 60 s.
const MAX_LIFETIME: Nanos = 60_000_000_000;
/// Minimum lifetime of a total: 1 ms.
const MIN_LIFETIME: Nanos = 1_000_000;

#[derive(Clone, Debug)]
struct Total {
    value: f64,
    expires_at: Nanos,
}

/// The result of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterReply {
    /// How the call ended.
    pub outcome: Outcome,
    /// The new total if the call succeeded, otherwise 0.
    pub total: f64,
}

/// The state of the simulated counter.
#[derive(Clone, Debug)]
pub struct Counter {
    /// How the counter currently handles calls.
    pub mode: CounterMode,
    call_duration: Nanos,
    /// When each shard will have executed all calls in its queue.
    shards_idle_at: Vec<Nanos>,
    totals: BTreeMap<String, Total>,
}

impl Counter {
    /// Creates a counter without totals.
    #[must_use]
    pub fn new(setup: &CounterSetup) -> Self {
        Counter {
            mode: setup.mode,
            call_duration: setup.call_duration,
            shards_idle_at: vec![0; setup.shards.max(1) as usize],
            totals: BTreeMap::new(),
        }
    }

    /// Deletes all totals.
    pub fn clear(&mut self) {
        self.totals.clear();
    }

    /// Queues a call that arrives now. Returns when its shard will have executed it; `None` if the counter is silent.
    pub fn enqueue(&mut self, name: &str, now: Nanos) -> Option<Nanos> {
        let factor = match self.mode {
            CounterMode::Silent => return None,
            CounterMode::Refusing => return Some(now),
            CounterMode::Normal => 1.0,
            CounterMode::Slow(factor) => factor,
        };
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let shard = hasher.finish() as usize % self.shards_idle_at.len();
        let start = self.shards_idle_at[shard].max(now);
        let done = start + (self.call_duration as f64 * factor) as Nanos;
        self.shards_idle_at[shard] = done;
        Some(done)
    }

    /// Adds `amount` to a total, which is created with `lifetime` (in nanoseconds) if it does not exist.
    pub fn execute(
        &mut self,
        name: &str,
        amount: f64,
        lifetime: Nanos,
        now: Nanos,
    ) -> CounterReply {
        let failed = |outcome| CounterReply {
            outcome,
            total: 0.0,
        };
        match self.mode {
            CounterMode::Silent => return failed(Outcome::Timeout),
            CounterMode::Refusing => return failed(Outcome::Rejected),
            CounterMode::Normal | CounterMode::Slow(_) => {}
        }
        self.totals.retain(|_, total| total.expires_at > now);
        let expires_at = now + lifetime.clamp(MIN_LIFETIME, MAX_LIFETIME);
        let total = self.totals.entry(name.to_owned()).or_insert(Total {
            value: 0.0,
            expires_at,
        });
        total.value += amount;
        CounterReply {
            outcome: Outcome::Good,
            total: total.value,
        }
    }
}
