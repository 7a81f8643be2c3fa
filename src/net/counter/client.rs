//! The counter client, which distributes calls over a few links by name.

use super::call_queue::{CallQueue, LastAnswered};
use crate::api::{Event, Nanos, Outcome};
use crate::net::config::{Addresses, Limits};
use crate::net::engine::EngineDriver;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use tokio::sync::watch;

/// The counter client of a limiter.
pub struct CounterClient {
    pub(super) limits: Rc<Limits>,
    pub(super) engine: Rc<EngineDriver>,
    pub(super) addresses: watch::Receiver<Addresses>,
    /// The call queues, one per link.
    pub(super) queues: Vec<Rc<CallQueue>>,
}

impl CounterClient {
    /// Creates a client. [`start`](super::start) opens its connections.
    pub fn new(
        limits: &Rc<Limits>,
        engine: &Rc<EngineDriver>,
        addresses: watch::Receiver<Addresses>,
    ) -> Self {
        let last_answered = LastAnswered::default();
        let queues = (0..limits.counter.connections)
            .map(|_| Rc::new(CallQueue::new(last_answered.clone())))
            .collect();
        CounterClient {
            limits: limits.clone(),
            engine: engine.clone(),
            addresses,
            queues,
        }
    }

    /// Adds `amount` to a name, which the counter keeps for at least `keep_for` nanoseconds, up to 60 s. Exactly one
    /// [`Event::CounterReplied`] follows.
    pub fn call(&self, name: String, amount: f64, keep_for: Nanos) {
        if self.addresses.borrow().counter.is_none() {
            return self.engine.handle(Event::CounterReplied {
                name,
                outcome: Outcome::ConnectFailed,
                total: 0.0,
                elapsed: 0,
            });
        }
        let queue = self.queue_of(&name);
        queue.push(name, amount, keep_for, &self.limits);
    }

    fn queue_of(&self, name: &str) -> &CallQueue {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        &self.queues[hasher.finish() as usize % self.queues.len()]
    }
}
