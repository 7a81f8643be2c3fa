//! The driver of the decision engine: its clock, its event queue, and the execution of its actions.
//!
//! The driver is independent of any protocol: a frontend submits a [`Request`] and receives one [`Answer`].

mod call_result;
mod clock;
mod host_call;
mod open_requests;
mod request;
mod value;

#[cfg(test)]
pub(crate) mod tests;

pub use call_result::{CallResult, UsageFigures};
pub use clock::Clock;
pub use host_call::{Cancellation, Charge, HostCall, HostCommand};
pub use open_requests::{AttemptId, AttemptNotAllowed, AttemptOrder, OpenRequests, ReplyTo};
pub use request::{Answer, Frontend, Payload, Request};
pub use value::Value;

use super::config::Limits;
use super::metrics::SharedMetrics;
use super::task::BoundTask;
use crate::api::{Action, Event, Nanos, RequestId, Settings};
use crate::decision::{DecisionEngine, EngineSnapshot, EngineStatus};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Weak;
use tokio::time::Instant;

/// Executes the actions that the decision engine returns.
pub trait ActionExecutor {
    /// Executes one action. Resulting events may be passed to [`EngineDriver::handle`] before this returns.
    fn execute(&self, action: Action);
}

/// Owner of the decision engine and the open requests, which passes the engine one event at a time.
pub struct EngineDriver {
    engine: RefCell<DecisionEngine>,
    clock: Clock,
    events: RefCell<VecDeque<Event>>,
    requests: RefCell<OpenRequests>,
    metrics: Option<SharedMetrics>,
    executor: OnceCell<Weak<dyn ActionExecutor>>,
    /// The time of the latest event, from which the times in its actions count.
    event_time: Cell<Instant>,
    /// Whether a caller further up the stack is already handling events.
    is_running: Cell<bool>,
    /// Buffer for the actions of one event, kept between events to reuse its allocation.
    actions: Cell<Vec<Action>>,
}

impl EngineDriver {
    /// Creates a driver without queued events or open requests. Actions are dropped until an executor is set.
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
            event_time: Cell::new(Instant::now()),
            is_running: Cell::default(),
            actions: Cell::default(),
        }
    }

    /// Sets the executor of the actions. Only the first call has an effect.
    pub fn set_executor(&self, executor: Weak<dyn ActionExecutor>) {
        self.executor.get_or_init(|| executor);
    }

    /// Passes an event to the engine and executes the resulting actions. An event that is raised by an action is queued
    /// until all actions of the current event are executed, so the engine is never re-entered.
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

    /// Passes an event to the engine, which appends its actions to `actions`.
    fn decide(&self, mut event: Event, actions: &mut Vec<Action>) {
        if let Event::AttemptDone {
            id,
            is_request_finished,
            ..
        } = &mut event
        {
            // Looked up only now, since a preceding event may have closed the request.
            *is_request_finished |= !self.requests.borrow().is_open(*id);
        }
        self.event_time.set(Instant::now());
        let now = self.clock.at(self.event_time.get());
        let engine = &mut *self.engine.borrow_mut();
        // A panic on one event must not abort all open requests. A request that the engine never answers is failed
        // shortly before its deadline.
        let outcome = catch_unwind(AssertUnwindSafe(|| engine.handle(now, event, actions)));
        if outcome.is_err() {
            tracing::error!("decision engine panicked on an event");
        }
    }

    /// Applies the limits of a new configuration to the open requests.
    pub fn apply_limits(&self, limits: &Limits) {
        self.requests.borrow_mut().apply_limits(limits);
    }

    /// Returns the time of the event whose actions are being executed.
    pub fn event_time(&self) -> Instant {
        self.event_time.get()
    }

    /// Returns the current time of the engine's clock.
    pub fn now(&self) -> Nanos {
        self.clock.at(Instant::now())
    }

    /// Returns the engine's current status.
    pub fn status(&self) -> EngineStatus {
        self.engine.borrow().status()
    }

    /// Limits the number of customers that the engine keeps counts of.
    pub fn limit_customers(&self, max_customers: usize) {
        self.engine.borrow_mut().limit_customers(max_customers);
    }

    /// Returns the number of customers that the engine keeps counts of.
    pub fn customer_count(&self) -> usize {
        self.engine.borrow().customer_count()
    }

    /// Returns a snapshot of the engine's state, for the process that takes over in a hot restart.
    pub fn snapshot(&self) -> EngineSnapshot {
        self.engine.borrow().snapshot()
    }

    /// Returns whether the limit on open requests allows another request.
    pub fn has_capacity(&self) -> bool {
        self.requests.borrow().has_capacity()
    }

    /// Returns whether a request with this id is open or still has an attempt in flight.
    pub fn contains_request(&self, id: RequestId) -> bool {
        self.requests.borrow().contains(id)
    }

    /// Opens a request that arrived at `arrived`, takes its payload, and returns its deadline.
    pub fn open_request(
        &self,
        reply_to: ReplyTo,
        request: &mut Request,
        arrived: Instant,
    ) -> Instant {
        self.requests.borrow_mut().open(reply_to, request, arrived)
    }

    /// Keeps a timer that concerns this request only, until the request is closed. Has no effect if it is not open.
    pub fn bind_timer(&self, id: RequestId, timer: BoundTask) {
        self.requests.borrow_mut().bind_timer(id, timer);
    }

    /// Returns the ids of all open requests, in no particular order.
    pub fn open_request_ids(&self) -> Vec<RequestId> {
        self.requests.borrow().ids()
    }

    /// Returns the number of open requests.
    pub fn open_request_count(&self) -> usize {
        self.requests.borrow().count()
    }

    /// Begins an attempt of a request now.
    ///
    /// # Errors
    /// Returns an error if the request is closed, past its deadline, or has used up its attempts.
    pub fn begin_attempt(&self, order: AttemptOrder) -> Result<HostCall, AttemptNotAllowed> {
        let now = Instant::now();
        self.requests.borrow_mut().begin_attempt(order, now)
    }

    /// Cancels an attempt if it is in flight.
    pub fn cancel_attempt(&self, attempt_id: AttemptId) {
        self.requests.borrow().cancel_attempt(attempt_id);
    }

    /// Records that an attempt is no longer in flight.
    pub fn end_attempt(&self, attempt_id: AttemptId) {
        self.requests.borrow_mut().end_attempt(attempt_id);
    }

    /// Closes a request and returns the recipient of its answer, or `None` if it was not open.
    pub fn close_request(&self, id: RequestId) -> Option<ReplyTo> {
        self.requests.borrow_mut().close(id)
    }

    /// Returns whether a request is open and its client is still connected, as far as the kernel knows now.
    pub fn has_client(&self, id: RequestId) -> bool {
        self.requests.borrow().has_client(id)
    }

    /// Returns whether a request is open and further commands of its client wait for its answer.
    pub fn has_commands_behind(&self, id: RequestId) -> bool {
        self.requests.borrow().has_commands_behind(id)
    }
}
