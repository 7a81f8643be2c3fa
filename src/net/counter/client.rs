//! The calls of a limiter to the counter, spread over a few links by their names.

use super::call_queue::{CallQueue, LastAnswered};
use crate::api::{Event, Nanos, Outcome};
use crate::net::config::{Addresses, Limits};
use crate::net::engine::EngineDriver;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use tokio::sync::watch;

/// The connections to the counter, and the calls on them.
pub struct CounterClient {
    pub(super) limits: Rc<Limits>,
    pub(super) engine: Rc<EngineDriver>,
    pub(super) addresses: watch::Receiver<Addresses>,
    /// One for each link.
    pub(super) queues: Vec<Rc<CallQueue>>,
}

impl CounterClient {
    /// A client without connections.
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

    /// Adds `amount` to a name, which the counter keeps for `keep_for` at least; exactly one [`Event::CounterReplied`]
    /// follows.
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
