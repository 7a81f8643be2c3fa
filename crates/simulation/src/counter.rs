//! The counter: totals by name that expire, and shards that execute calls one after another.

use crate::scenario::{CounterMode, CounterSetup};
use quartzcleat_decision::api::{Nanos, Outcome};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

#[cfg(test)]
mod tests;

/// The longest lifetime of a total.
const MAX_LIFETIME: Nanos = 60_000_000_000;
/// The shortest lifetime of a total.
const MIN_LIFETIME: Nanos = 1_000_000;

#[derive(Clone, Debug)]
struct Total {
    value: f64,
    expires_at: Nanos,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterReply {
    /// How the call ended.
    pub outcome: Outcome,
    /// The new total where it ended well, otherwise 0.
    pub total: f64,
}

/// The counter's state.
#[derive(Clone, Debug)]
pub struct Counter {
    /// Whether and how calls are executed.
    pub mode: CounterMode,
    call_duration: Nanos,
    /// When each shard has executed all calls of its queue.
    shards_idle_at: Vec<Nanos>,
    totals: BTreeMap<String, Total>,
}

impl Counter {
    /// A counter without totals.
    #[must_use]
    pub fn new(setup: &CounterSetup) -> Self {
        Counter {
            mode: setup.mode,
            call_duration: setup.call_duration,
            shards_idle_at: vec![0; setup.shards.max(1) as usize],
            totals: BTreeMap::new(),
        }
    }

    /// Forgets all totals.
    pub fn clear(&mut self) {
        self.totals.clear();
    }

    /// Queues a call that arrives now. Returns when its shard has executed it, or `None` where it never does.
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

    /// Executes a call: adds an amount to a total, which is created with this lifetime where it does not exist.
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
