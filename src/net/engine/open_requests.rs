//! The requests that have no final answer yet, and the attempts in flight.

use super::host_call::{Cancellation, Charge, HostCall, HostCommand};
use super::request::{Frontend, Payload, Request};
use crate::api::{AttemptIndex, HostId, Nanos, RequestId};
use crate::net::config::Limits;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's index.
    pub attempt: AttemptIndex,
}

/// An attempt as the decision engine orders it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOrder {
    /// The request.
    pub id: RequestId,
    /// The host.
    pub host: HostId,
    /// Give up waiting after this time; zero: at the request's deadline.
    pub timeout: Nanos,
    /// The attempt begins within this time, or not at all.
    pub begins_within: Nanos,
}

impl AttemptOrder {
    /// When the attempt is given up, `request_deadline` at the latest.
    fn deadline(&self, now: Instant, request_deadline: Instant) -> Instant {
        match self.timeout {
            0 => request_deadline,
            timeout => request_deadline.min(now + Duration::from_nanos(timeout)),
        }
    }

    /// By when the command is written completely, `deadline` at the latest.
    fn send_by(&self, now: Instant, deadline: Instant) -> Instant {
        now.checked_add(Duration::from_nanos(self.begins_within))
            .map_or(deadline, |send_by| send_by.min(deadline))
    }
}

/// An attempt must not be made.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("attempt {attempt} must not be made")]
pub struct AttemptNotAllowed {
    /// The attempt's index.
    pub attempt: AttemptIndex,
}

/// The recipient of the answer to a request.
pub struct ReplyTo {
    /// The frontend.
    pub frontend: Rc<dyn Frontend>,
    /// The request's place among those of the frontend.
    pub place: u64,
}

struct OpenRequest {
    reply_to: ReplyTo,
    payload: Rc<Payload>,
    charge: Charge,
    deadline: Instant,
    attempt_count: u32,
}

/// The indices of the first attempts of a request.
fn attempt_indices(count: u32) -> impl Iterator<Item = AttemptIndex> {
    (0..count).map(AttemptIndex)
}

/// All requests without a final answer, and all attempts in flight.
pub struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    in_flight: HashMap<AttemptId, Rc<Cancellation>>,
    /// Bytes of open requests and of answers that clients have not read.
    buffered_bytes: Rc<Cell<usize>>,
    max_requests: usize,
    max_buffered_bytes: usize,
    max_attempts: u32,
    /// The most attempts that the configurations so far allowed one request.
    highest_max_attempts: u32,
}

impl OpenRequests {
    /// No request is open.
    pub fn new(limits: &Limits) -> Self {
        OpenRequests {
            requests: HashMap::new(),
            in_flight: HashMap::new(),
            buffered_bytes: Rc::default(),
            max_requests: limits.requests.max_open,
            max_buffered_bytes: limits.requests.max_buffered_bytes,
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

    /// Whether another request can be opened.
    pub fn has_capacity(&self) -> bool {
        self.requests.len() < self.max_requests
            && self.buffered_bytes.get() < self.max_buffered_bytes
    }

    /// Whether a request of this id is open, or has an attempt in flight.
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

    /// Whether a request is open.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The count of buffered bytes, to which frontends add the answers that their clients have not read.
    pub fn buffered_bytes(&self) -> Rc<Cell<usize>> {
        self.buffered_bytes.clone()
    }

    /// Keeps a request until it is answered, and takes its payload; returns its deadline.
    pub fn open(&mut self, reply_to: ReplyTo, request: &mut Request, arrived: Instant) -> Instant {
        let payload = Rc::new(std::mem::take(&mut request.payload));
        let deadline = arrived + request.wait;
        self.buffered_bytes
            .set(self.buffered_bytes.get() + payload.bytes.len());
        let open = OpenRequest {
            reply_to,
            payload,
            charge: Charge {
                customer: request.customer,
                units: request.units,
            },
            deadline,
            attempt_count: 0,
        };
        self.requests.insert(request.id, open);
        deadline
    }

    /// Closes a request; returns the recipient of its answer, if it was open.
    ///
    /// An attempt that is not written yet is cancelled: its connection may come up late or its host be slow to read,
    /// and no attempt may begin for a request that is closed.
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
        self.buffered_bytes
            .set(self.buffered_bytes.get() - open.payload.bytes.len());
        Some(open.reply_to)
    }

    /// The ids of all open requests.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// How many requests are open.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Begins an attempt of a request.
    ///
    /// # Errors
    /// The attempt must not be made, since the request is closed, past its deadline, or had all its attempts.
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

    /// Cancels an attempt, if it is in flight.
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
