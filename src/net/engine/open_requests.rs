//! Requests without a final answer, and attempts in flight.

use super::host_call::{Cancellation, Charge, HostCall, HostCommand};
use super::request::{Frontend, Payload, Request};
use crate::api::{AttemptIndex, HostId, Nanos, RequestId};
use crate::net::config::Limits;
use crate::net::task::BoundTask;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The identity of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The id of the request.
    pub request: RequestId,
    /// The index of the attempt within the request.
    pub attempt: AttemptIndex,
}

/// An attempt that the decision engine requests.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOrder {
    /// The id of the request.
    pub id: RequestId,
    /// The host to send the attempt to.
    pub host: HostId,
    /// The time after which the attempt times out; zero means at the request's deadline.
    pub timeout: Nanos,
    /// The time within which the command must be written; otherwise, the attempt fails without having run.
    pub begins_within: Nanos,
}

impl AttemptOrder {
    /// Returns when the attempt times out, `request_deadline` at the latest.
    fn deadline(&self, now: Instant, request_deadline: Instant) -> Instant {
        match self.timeout {
            0 => request_deadline,
            timeout => request_deadline.min(now + Duration::from_nanos(timeout)),
        }
    }

    /// Returns the moment by which the command must be written, `deadline` at the latest.
    fn send_by(&self, now: Instant, deadline: Instant) -> Instant {
        now.checked_add(Duration::from_nanos(self.begins_within))
            .map_or(deadline, |send_by| send_by.min(deadline))
    }
}

/// The error returned for an attempt that must not be made.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "attempt {attempt} is not allowed: the request is closed, past its deadline or out of attempts"
)]
pub struct AttemptNotAllowed {
    /// The index of the attempt within the request; zero if the request is not open.
    pub attempt: AttemptIndex,
}

/// The recipient of the answer to a request.
pub struct ReplyTo {
    /// The frontend that received the request.
    pub frontend: Rc<dyn Frontend>,
    /// The sequence number of the request within the frontend.
    pub sequence: u64,
}

struct OpenRequest {
    reply_to: ReplyTo,
    payload: Rc<Payload>,
    charge: Charge,
    deadline: Instant,
    attempt_count: u32,
    /// The timers that concern this request only.
    timers: Vec<BoundTask>,
}

/// Returns the indices of the first `count` attempts of a request.
fn attempt_indices(count: u32) -> impl Iterator<Item = AttemptIndex> {
    (0..count).map(AttemptIndex)
}

/// The requests without a final answer, and the attempts in flight.
pub struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    in_flight: HashMap<AttemptId, Rc<Cancellation>>,
    max_requests: usize,
    max_attempts: u32,
    /// The highest `max_attempts` of all configurations since the start. Attempts begun under an earlier configuration
    /// may still be in flight.
    highest_max_attempts: u32,
}

impl OpenRequests {
    /// Creates an empty table with the limits of a configuration.
    pub fn new(limits: &Limits) -> Self {
        OpenRequests {
            requests: HashMap::new(),
            in_flight: HashMap::new(),
            max_requests: limits.requests.max_open,
            max_attempts: limits.requests.max_attempts,
            highest_max_attempts: limits.requests.max_attempts,
        }
    }

    /// Applies the limits of a new configuration.
    pub fn apply_limits(&mut self, limits: &Limits) {
        self.max_requests = limits.requests.max_open;
        self.max_attempts = limits.requests.max_attempts;
        self.highest_max_attempts = self.highest_max_attempts.max(limits.requests.max_attempts);
    }

    /// Returns whether the limit on open requests allows another request.
    pub fn has_capacity(&self) -> bool {
        self.requests.len() < self.max_requests
    }

    /// Returns whether a request with this id is open or still has an attempt in flight.
    pub fn contains(&self, id: RequestId) -> bool {
        let in_flight = |attempt| {
            let attempt_id = AttemptId {
                request: id,
                attempt,
            };
            self.in_flight.contains_key(&attempt_id)
        };
        self.requests.contains_key(&id) || attempt_indices(self.highest_max_attempts).any(in_flight)
    }

    /// Returns whether a request is open.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns whether a request is open and its client is still connected, as far as the kernel knows now.
    pub fn has_client(&self, id: RequestId) -> bool {
        let open = self.requests.get(&id);
        open.is_some_and(|open| open.reply_to.frontend.is_client_connected())
    }

    /// Returns whether a request is open and further commands of its client wait for its answer.
    pub fn has_commands_behind(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|open| {
            let ReplyTo { frontend, sequence } = &open.reply_to;
            frontend.has_commands_behind(*sequence)
        })
    }

    /// Adds a request that arrived at `arrived`, takes its payload, and returns its deadline.
    pub fn open(&mut self, reply_to: ReplyTo, request: &mut Request, arrived: Instant) -> Instant {
        let payload = Rc::new(std::mem::take(&mut request.payload));
        let deadline = arrived + request.wait;
        let open = OpenRequest {
            reply_to,
            payload,
            charge: Charge {
                customer: request.customer,
                units: request.units,
            },
            deadline,
            attempt_count: 0,
            timers: Vec::new(),
        };
        self.requests.insert(request.id, open);
        deadline
    }

    /// Keeps a timer that concerns this request only, until the request is closed. Has no effect if it is not open.
    pub fn bind_timer(&mut self, id: RequestId, timer: BoundTask) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.timers.push(timer);
        }
    }

    /// Closes a request and returns the recipient of its answer, or `None` if it was not open.
    ///
    /// Cancels each attempt whose command is not completely written: its connection may be established late or its host
    /// may read slowly, and no attempt may begin for a closed request.
    pub fn close(&mut self, id: RequestId) -> Option<ReplyTo> {
        let open = self.requests.remove(&id)?;
        for attempt in attempt_indices(open.attempt_count) {
            let attempt_id = AttemptId {
                request: id,
                attempt,
            };
            if let Some(cancellation) = self.in_flight.get(&attempt_id) {
                if !cancellation.sent.get() {
                    cancellation.requested.notify_one();
                }
            }
        }
        Some(open.reply_to)
    }

    /// Returns the ids of all open requests, in no particular order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Begins an attempt of a request.
    ///
    /// # Errors
    /// Returns an error if the request is closed, past its deadline, or has used up its attempts.
    pub fn begin_attempt(
        &mut self,
        order: AttemptOrder,
        now: Instant,
    ) -> Result<HostCall, AttemptNotAllowed> {
        let Some(open) = self.requests.get_mut(&order.id) else {
            return Err(AttemptNotAllowed {
                attempt: AttemptIndex::default(),
            });
        };
        let attempt = AttemptIndex(open.attempt_count);
        open.attempt_count += 1;
        if attempt.0 >= self.max_attempts || now >= open.deadline {
            return Err(AttemptNotAllowed { attempt });
        }
        let deadline = order.deadline(now, open.deadline);
        let send_by = order.send_by(now, deadline);
        let cancellation = Rc::new(Cancellation::default());
        let attempt_id = AttemptId {
            request: order.id,
            attempt,
        };
        self.in_flight.insert(attempt_id, cancellation.clone());
        Ok(HostCall {
            command: HostCommand::Attempt {
                id: order.id,
                attempt,
                payload: open.payload.clone(),
                charge: open.charge,
            },
            host: order.host,
            started_at: now,
            send_by,
            deadline,
            cancellation,
        })
    }

    /// Cancels an attempt if it is in flight.
    pub fn cancel_attempt(&self, attempt_id: AttemptId) {
        if let Some(cancellation) = self.in_flight.get(&attempt_id) {
            cancellation.requested.notify_one();
        }
    }

    /// Records that an attempt is no longer in flight.
    pub fn end_attempt(&mut self, attempt_id: AttemptId) {
        self.in_flight.remove(&attempt_id);
    }
}
