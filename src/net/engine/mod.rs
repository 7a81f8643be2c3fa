//! The driver of the decision engine: its clock, its queue of events, and the actions that it orders.
//!
//! Knows no protocol: a frontend hands in a [`Request`] and gets one [`Answer`].

mod call_result;
mod clock;
mod host_call;
mod open_requests;
mod request;

#[cfg(test)]
pub(crate) mod tests;

pub use call_result::{CallResult, UsageFigures};
pub use clock::Clock;
pub use host_call::{Cancellation, Charge, HostCall, HostCommand};
pub use open_requests::{AttemptId, AttemptNotAllowed, AttemptOrder, OpenRequests, ReplyTo};
pub use request::{Answer, Frontend, Payload, Request};

use super::config::Limits;
use super::metrics::SharedMetrics;
use crate::api::{Action, Event, Nanos, RequestId, Settings};
use crate::choice::{DecisionEngine, EngineSnapshot, EngineStatus};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};
use tokio::time::Instant;

/// Carries out the actions that the decision engine orders.
pub trait ActionExecutor {
    /// Carries out one action. Events that follow from it may be handed to the engine before this returns.
    fn execute(&self, action: Action);
}

/// Owns the decision engine and the open requests, and feeds the engine one event at a time.
pub struct EngineDriver {
    engine: RefCell<DecisionEngine>,
    clock: Clock,
    events: RefCell<VecDeque<Event>>,
    requests: RefCell<OpenRequests>,
    metrics: Option<SharedMetrics>,
    executor: OnceCell<Weak<dyn ActionExecutor>>,
    /// An event is being handled further up the stack.
    is_running: Cell<bool>,
    /// The allocation that actions are collected in.
    actions: Cell<Vec<Action>>,
}

impl EngineDriver {
    /// An engine without events and requests. Its actions are dropped until an executor is set.
    pub fn new(
        settings: Settings,
        seed: u64,
        limits: &Limits,
        metrics: Option<SharedMetrics>,
    ) -> Self {
        let clock = Clock::new();
        let engine = DecisionEngine::new(settings, seed, clock.at(Instant::now()));
        EngineDriver {
            engine: RefCell::new(engine),
            clock,
            events: RefCell::default(),
            requests: RefCell::new(OpenRequests::new(limits)),
            metrics,
            executor: OnceCell::new(),
            is_running: Cell::default(),
            actions: Cell::default(),
        }
    }

    /// Sets who carries out the actions; the first one set stays.
    pub fn set_executor(&self, executor: Weak<dyn ActionExecutor>) {
        self.executor.get_or_init(|| executor);
    }

    /// Hands an event to the engine and carries out the actions that it orders. An event that follows from an action
    /// waits until all actions of the event before are carried out: the engine is never called from within its own
    /// actions.
    pub fn handle(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_running.replace(true) {
            return;
        }
        let mut actions = self.actions.take();
        while let Some(event) = self.next_event() {
            self.handle_next(event, &mut actions);
        }
        self.actions.set(actions);
        self.is_running.set(false);
    }

    fn next_event(&self) -> Option<Event> {
        self.events.borrow_mut().pop_front()
    }

    fn handle_next(&self, event: Event, actions: &mut Vec<Action>) {
        let metrics = self.metrics.as_ref();
        let cause = metrics.map(|metrics| metrics.borrow_mut().record_event(&event));
        self.decide(event, actions);
        if let (Some(metrics), Some(cause)) = (metrics, cause) {
            metrics.borrow_mut().record_actions(cause, actions);
        }
        let executor = self.executor.get().and_then(Weak::upgrade);
        for action in actions.drain(..) {
            if let Some(executor) = &executor {
                executor.execute(action);
            }
        }
    }

    /// Lets the engine decide on an event and appends its actions.
    fn decide(&self, mut event: Event, actions: &mut Vec<Action>) {
        if let Event::AttemptDone {
            id,
            is_request_finished,
            ..
        } = &mut event
        {
            // Looked up at this moment: an event before this one may have closed the request.
            *is_request_finished |= !self.requests.borrow().is_open(*id);
        }
        let now = self.clock.at(Instant::now());
        let engine = &mut *self.engine.borrow_mut();
        // A panic on one event must not end all open requests: each is failed shortly before its deadline,
        // also where the engine never answers it.
        let outcome = catch_unwind(AssertUnwindSafe(|| engine.handle(now, event, actions)));
        if outcome.is_err() {
            tracing::error!("decision engine panicked on an event");
        }
    }

    /// Applies the limits of a new configuration to the open requests.
    pub fn apply_limits(&self, limits: &Limits) {
        self.requests.borrow_mut().apply_limits(limits);
    }

    /// The engine's clock at this moment.
    pub fn now(&self) -> Nanos {
        self.clock.at(Instant::now())
    }

    /// The engine's status at this moment.
    pub fn status(&self) -> EngineStatus {
        self.engine.borrow().status()
    }

    /// A snapshot of the engine's state, for a process that takes over.
    pub fn snapshot(&self) -> EngineSnapshot {
        self.engine.borrow().snapshot()
    }

    /// Whether another request can be opened.
    pub fn has_capacity(&self) -> bool {
        self.requests.borrow().has_capacity()
    }

    /// Whether a request of this id is open, or has an attempt in flight.
    pub fn contains_request(&self, id: RequestId) -> bool {
        self.requests.borrow().contains(id)
    }

    /// Opens a request that has arrived at a moment, and takes its payload; returns its deadline.
    pub fn open_request(
        &self,
        reply_to: ReplyTo,
        request: &mut Request,
        arrived: Instant,
    ) -> Instant {
        self.requests.borrow_mut().open(reply_to, request, arrived)
    }

    /// The ids of all open requests.
    pub fn open_request_ids(&self) -> Vec<RequestId> {
        self.requests.borrow().ids()
    }

    /// How many requests are open.
    pub fn open_request_count(&self) -> usize {
        self.requests.borrow().count()
    }

    /// Begins an attempt of a request at this moment.
    ///
    /// # Errors
    /// The attempt must not be made.
    pub fn begin_attempt(&self, order: AttemptOrder) -> Result<HostCall, AttemptNotAllowed> {
        let now = Instant::now();
        self.requests.borrow_mut().begin_attempt(order, now)
    }

    /// Cancels an attempt, if it is in flight.
    pub fn cancel_attempt(&self, attempt_id: AttemptId) {
        self.requests.borrow().cancel_attempt(attempt_id);
    }

    /// Records that an attempt is no longer in flight.
    pub fn end_attempt(&self, attempt_id: AttemptId) {
        self.requests.borrow_mut().end_attempt(attempt_id);
    }

    /// Closes a request; returns the recipient of its answer, if it was open.
    pub fn close_request(&self, id: RequestId) -> Option<ReplyTo> {
        self.requests.borrow_mut().close(id)
    }

    /// The count of buffered bytes of requests and unread answers.
    pub fn buffered_bytes(&self) -> Rc<Cell<usize>> {
        self.requests.borrow().buffered_bytes()
    }
}
