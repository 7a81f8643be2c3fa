//! The calls of one link to the counter, reported in their order.

use super::answer::CallOutcome;
use super::connection::CounterConnection;
use crate::api::{Event, Nanos, Outcome};
use crate::net::config::Limits;
use crate::net::engine::EngineDriver;
use crate::net::resp::codec;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The command that adds to a counter and returns its total.
const ADD_COMMAND: &[u8] = b"ADDGET";
const NANOS_PER_MS: u64 = 1_000_000;
/// The longest time that the counter keeps a name, in milliseconds.
const MAX_KEEP_MS: u64 = 60_000;

/// The state of a call.
enum CallState {
    /// It waits for a connection.
    Waiting {
        /// The bytes to be written.
        command: Vec<u8>,
    },
    /// It was given to a connection.
    Sent,
    /// It has ended, and calls before it may not have.
    Ended(CallOutcome),
}

/// A call that has not been reported yet.
struct CounterCall {
    name: String,
    started_at: Instant,
    state: CallState,
}

impl CounterCall {
    /// Ends the call, unless it has ended.
    fn end(&mut self, outcome: CallOutcome) {
        if !matches!(self.state, CallState::Ended(_)) {
            self.state = CallState::Ended(outcome);
        }
    }

    /// Ends the call at its timeout, unless it has ended. A call that was never sent was not added; any other may be.
    fn time_out(&mut self) {
        let outcome = match self.state {
            CallState::Waiting { .. } => Outcome::ConnectFailed,
            CallState::Sent | CallState::Ended(_) => Outcome::Timeout,
        };
        self.end(CallOutcome::failed(outcome));
    }

    /// The event that reports the call and its outcome.
    fn into_event(self, CallOutcome { outcome, total }: CallOutcome) -> Event {
        Event::CounterReplied {
            name: self.name,
            outcome,
            total,
            elapsed: self.started_at.elapsed().as_nanos() as Nanos,
        }
    }
}

/// When any of the links was last answered.
pub(super) type LastAnswered = Rc<Cell<Option<Instant>>>;

/// Calls in their order, whichever connection each of them is written to.
pub(super) struct CallQueue {
    calls: RefCell<VecDeque<CounterCall>>,
    /// How many calls have been reported: the number of the first one in the queue.
    reported: Cell<u64>,
    /// Notified when a call is added.
    pub added: Notify,
    /// Shared by all queues.
    pub last_answered: LastAnswered,
}

impl CallQueue {
    /// A queue without calls.
    pub(super) fn new(last_answered: LastAnswered) -> Self {
        CallQueue {
            calls: RefCell::default(),
            reported: Cell::default(),
            added: Notify::new(),
            last_answered,
        }
    }

    /// Adds a call. Past the limit the call is not made, but keeps its place: its end is reported behind the others.
    pub(super) fn push(&self, name: String, amount: f64, keep_for: Nanos, limits: &Limits) {
        let mut calls = self.calls.borrow_mut();
        let has_capacity = calls.len() < limits.counter.max_pending_calls;
        let state = if has_capacity {
            CallState::Waiting {
                command: encode(&name, amount, keep_for),
            }
        } else {
            CallState::Ended(CallOutcome::failed(Outcome::ConnectFailed))
        };
        let call = CounterCall {
            name,
            started_at: Instant::now(),
            state,
        };
        calls.push_back(call);
        self.added.notify_one();
    }

    /// Waits until the first call has timed out.
    pub(super) async fn wait_for_timeout(&self, limits: &Limits) {
        let first = self.calls.borrow().front().map(|call| call.started_at);
        match first {
            Some(started_at) => sleep_until(started_at + limits.counter.call_timeout.get()).await,
            None => std::future::pending().await,
        }
    }

    /// Ends the calls that have timed out, and reports.
    pub(super) fn expire(&self, limits: &Limits, engine: &EngineDriver) {
        let now = Instant::now();
        for call in self.calls.borrow_mut().iter_mut() {
            if call.started_at + limits.counter.call_timeout.get() > now {
                break;
            }
            call.time_out();
        }
        self.report(engine);
    }

    /// Reports the first calls, as far as they have ended. The engine identifies calls by their order, so that a call
    /// that has ended waits for the calls before it.
    pub(super) fn report(&self, engine: &EngineDriver) {
        while let Some(event) = self.take_ended() {
            engine.handle(event);
        }
    }

    /// Takes the first call from the queue if it has ended; the event that reports it.
    fn take_ended(&self) -> Option<Event> {
        let mut calls = self.calls.borrow_mut();
        let CallState::Ended(outcome) = calls.front()?.state else {
            return None;
        };
        let call = calls.pop_front()?;
        self.reported.set(self.reported.get() + 1);
        Some(call.into_event(outcome))
    }

    /// Records the end of a call, unless it has ended.
    pub(super) fn record(&self, number: u64, outcome: CallOutcome) {
        let Some(index) = number.checked_sub(self.reported.get()) else {
            return;
        };
        if let Some(call) = self.calls.borrow_mut().get_mut(index as usize) {
            call.end(outcome);
        }
    }

    /// Ends the calls on a connection that is of no more use, and reports. Calls whose last byte was never written
    /// were not added; the others may have been, as after a timeout.
    pub(super) fn abandon(&self, connection: CounterConnection, engine: &EngineDriver) {
        for call in &connection.unanswered {
            let outcome = if connection.has_written(call) {
                Outcome::Timeout
            } else {
                Outcome::ConnectFailed
            };
            self.record(call.number, CallOutcome::failed(outcome));
        }
        drop(connection);
        self.report(engine);
    }

    /// Writes all calls that wait to a connection's output.
    pub(super) fn move_to(&self, connection: &mut CounterConnection) {
        let first = self.reported.get();
        for (number, call) in (first..).zip(self.calls.borrow_mut().iter_mut()) {
            if let CallState::Waiting { command } = &mut call.state {
                connection.append(number, command);
                call.state = CallState::Sent;
            }
        }
    }

    /// Whether there are calls without an end.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.calls.borrow().is_empty()
    }
}

fn encode(name: &str, amount: f64, keep_for: Nanos) -> Vec<u8> {
    let amount = amount.to_string();
    let keep_ms = keep_for.div_ceil(NANOS_PER_MS).clamp(1, MAX_KEEP_MS);
    let keep_ms = keep_ms.to_string();
    let words = [
        ADD_COMMAND,
        name.as_bytes(),
        amount.as_bytes(),
        keep_ms.as_bytes(),
    ];
    let mut command = Vec::new();
    codec::write_command(&words, &mut command);
    command
}
