//! The calls of one link to the counter, reported in the order in which they were made.

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

/// The command that adds an amount to a name and returns the total.
const ADD_COMMAND: &[u8] = b"ADDGET";
const NANOS_PER_MS: u64 = 1_000_000;
/// Maximum time for which the counter can be told to keep a name, in milliseconds.
const MAX_KEEP_MS: u64 = 60_000;

/// The state of a call.
enum CallState {
    /// The call waits for a connection.
    Waiting {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// The command was moved to a connection's output.
    Sent,
    /// The call has ended, and is reported once all earlier calls have ended.
    Ended(CallOutcome),
}

/// A call that has not been reported yet.
struct CounterCall {
    name: String,
    started_at: Instant,
    state: CallState,
}

impl CounterCall {
    /// Ends the call, unless it has ended already.
    fn end(&mut self, outcome: CallOutcome) {
        if !matches!(self.state, CallState::Ended(_)) {
            self.state = CallState::Ended(outcome);
        }
    }

    /// Ends the call at its timeout, unless it has ended already. The amount of a call that was never sent was not
    /// added; that of any other call may have been.
    fn time_out(&mut self) {
        let outcome = match self.state {
            CallState::Waiting { .. } => Outcome::ConnectFailed,
            CallState::Sent | CallState::Ended(_) => Outcome::Timeout,
        };
        self.end(CallOutcome::failed(outcome));
    }

    /// Converts the call and its outcome to the event that reports them.
    fn into_event(self, CallOutcome { outcome, total }: CallOutcome) -> Event {
        Event::CounterReplied {
            name: self.name,
            outcome,
            total,
            elapsed: self.started_at.elapsed().as_nanos() as Nanos,
        }
    }
}

/// The time of the last answer on any link; `None` before the first one.
pub(super) type LastAnswered = Rc<Cell<Option<Instant>>>;

/// The calls of one link in the order in which they were made, across its connections.
pub(super) struct CallQueue {
    calls: RefCell<VecDeque<CounterCall>>,
    /// The number of calls reported so far, which is the sequence number of the first call in the queue.
    reported: Cell<u64>,
    /// Notified when a call is added to the queue.
    pub added: Notify,
    /// The time of the last answer, shared by all queues.
    pub last_answered: LastAnswered,
}

impl CallQueue {
    /// Creates an empty queue.
    pub(super) fn new(last_answered: LastAnswered) -> Self {
        CallQueue {
            calls: RefCell::default(),
            reported: Cell::default(),
            added: Notify::new(),
            last_answered,
        }
    }

    /// Adds a call. If the queue is full the call is not made, and its failure is reported after the earlier calls.
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

    /// Waits until the first call times out; forever where the queue is empty.
    pub(super) async fn wait_for_timeout(&self, limits: &Limits) {
        let first = self.calls.borrow().front().map(|call| call.started_at);
        match first {
            Some(started_at) => sleep_until(started_at + limits.counter.call_timeout.get()).await,
            None => std::future::pending().await,
        }
    }

    /// Ends the calls that have timed out, and reports the calls that have ended.
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

    /// Reports the calls at the front of the queue that have ended. The engine identifies calls by their order, so a
    /// call that has ended is reported only after all earlier calls.
    pub(super) fn report(&self, engine: &EngineDriver) {
        while let Some(event) = self.take_ended() {
            engine.handle(event);
        }
    }

    /// Removes the first call from the queue and returns the event that reports it; `None` where it has not ended.
    fn take_ended(&self) -> Option<Event> {
        let mut calls = self.calls.borrow_mut();
        let CallState::Ended(outcome) = calls.front()?.state else {
            return None;
        };
        let call = calls.pop_front()?;
        self.reported.set(self.reported.get() + 1);
        Some(call.into_event(outcome))
    }

    /// Records the outcome of the call with a sequence number, unless the call has ended already.
    pub(super) fn record_outcome(&self, number: u64, outcome: CallOutcome) {
        let Some(index) = number.checked_sub(self.reported.get()) else {
            return;
        };
        if let Some(call) = self.calls.borrow_mut().get_mut(index as usize) {
            call.end(outcome);
        }
    }

    /// Closes a connection, ends its unanswered calls and reports the calls that have ended. The amounts of calls whose
    /// last byte was never written were not added; the others may have been, as after a timeout.
    pub(super) fn abandon(&self, connection: CounterConnection, engine: &EngineDriver) {
        for call in &connection.unanswered {
            let outcome = if connection.has_written(call) {
                Outcome::Timeout
            } else {
                Outcome::ConnectFailed
            };
            self.record_outcome(call.number, CallOutcome::failed(outcome));
        }
        drop(connection);
        self.report(engine);
    }

    /// Moves the commands of all waiting calls to a connection's output.
    pub(super) fn send_waiting(&self, connection: &mut CounterConnection) {
        let first = self.reported.get();
        for (number, call) in (first..).zip(self.calls.borrow_mut().iter_mut()) {
            if let CallState::Waiting { command } = &mut call.state {
                connection.append(number, command);
                call.state = CallState::Sent;
            }
        }
    }

    /// Returns whether all calls have been reported.
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
