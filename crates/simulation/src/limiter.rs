//! A simulated limiter: the real decision engine, and the state that the network layer keeps for it in production:
//! open requests, attempts in flight, and the order of the counter's replies.

use crate::counter::CounterReply;
use quartzcleat_decision::api::{AttemptIndex, ClassIndex, Event, Nanos, RequestId, Settings};
use quartzcleat_decision::DecisionEngine;
use quartzcleat_invariants::HostIndex;
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) class: ClassIndex,
    pub(crate) operation: u64,
    pub(crate) deadline: Nanos,
    /// Attempts ordered so far, including those that were not allowed.
    pub(crate) attempts: u32,
}

/// Identifies an attempt within its limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptIndex,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) host: HostIndex,
    pub(crate) started: Nanos,
    pub(crate) class: ClassIndex,
    pub(crate) operation: u64,
}

/// An attempt that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StartedAttempt {
    pub(crate) attempt: AttemptIndex,
    /// When the client of the request stops waiting.
    pub(crate) deadline: Nanos,
}

/// Error for an attempt that must not be sent, because its request is closed, past its deadline or out of attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptNotAllowed {
    pub(crate) attempt: AttemptIndex,
}

#[derive(Clone, Copy, Debug)]
struct CallEnd {
    reply: CounterReply,
    elapsed: Nanos,
}

#[derive(Clone, Debug)]
struct PendingCall {
    number: u64,
    name: String,
    started: Nanos,
    end: Option<CallEnd>,
}

#[derive(Debug)]
pub(crate) struct Limiter {
    pub(crate) engine: DecisionEngine,
    pub(crate) is_up: bool,
    pub(crate) incarnation: u32,
    pub(crate) open_requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    pending_calls: VecDeque<PendingCall>,
    last_call: u64,
}

impl Limiter {
    pub(crate) fn new(settings: Settings, seed: u64, now: Nanos, incarnation: u32) -> Self {
        Limiter {
            engine: DecisionEngine::new(settings, seed, now),
            is_up: true,
            incarnation,
            open_requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            pending_calls: VecDeque::new(),
            last_call: 0,
        }
    }

    /// Returns whether the limiter is up and has an open request or an attempt in flight.
    pub(crate) fn has_work(&self) -> bool {
        self.is_up && !(self.open_requests.is_empty() && self.in_flight.is_empty())
    }

    /// Registers a call to the counter and returns its number, counted from 1.
    pub(crate) fn start_call(&mut self, name: &str, now: Nanos) -> u64 {
        self.last_call += 1;
        self.pending_calls.push_back(PendingCall {
            number: self.last_call,
            name: name.to_owned(),
            started: now,
            end: None,
        });
        self.last_call
    }

    /// Records the end of a call. Returns the replies that are due to the engine, which receives them in the order of
    /// the calls.
    pub(crate) fn end_call(&mut self, number: u64, reply: CounterReply, now: Nanos) -> Vec<Event> {
        let call = self
            .pending_calls
            .iter_mut()
            .find(|call| call.number == number);
        if let Some(call) = call {
            let elapsed = now - call.started;
            call.end.get_or_insert(CallEnd { reply, elapsed });
        }
        let mut events = Vec::new();
        while let Some(end) = self.pending_calls.front().and_then(|call| call.end) {
            if let Some(call) = self.pending_calls.pop_front() {
                events.push(Event::CounterReplied {
                    name: call.name,
                    outcome: end.reply.outcome,
                    total: end.reply.total,
                    elapsed: end.elapsed,
                });
            }
        }
        events
    }

    /// Registers a new attempt of a request. Attempts that are not allowed count towards `max_attempts` too.
    pub(crate) fn start_attempt(
        &mut self,
        request: RequestId,
        host: HostIndex,
        now: Nanos,
        max_attempts: u32,
    ) -> Result<StartedAttempt, AttemptNotAllowed> {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return Err(AttemptNotAllowed {
                attempt: AttemptIndex(0),
            });
        };
        let attempt = AttemptIndex(open.attempts);
        open.attempts += 1;
        if attempt.0 >= max_attempts || now >= open.deadline {
            return Err(AttemptNotAllowed { attempt });
        }
        let in_flight = InFlightAttempt {
            host,
            started: now,
            class: open.class,
            operation: open.operation,
        };
        let deadline = open.deadline;
        self.in_flight
            .insert(AttemptId { request, attempt }, in_flight);
        Ok(StartedAttempt { attempt, deadline })
    }

    /// Returns an attempt in flight; `None` if it is unknown or has ended.
    pub(crate) fn attempt(
        &self,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> Option<InFlightAttempt> {
        self.in_flight.get(&AttemptId { request, attempt }).copied()
    }
}
