//! Requests as frontends submit them, and their final answers.

use super::value::Value;
use crate::api::{ClassIndex, CustomerId, LimiterIndex, PlanIndex, RequestId};
use crate::net::memory::Reservation;
use crate::net::streaming_body::StreamingBody;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// The source of requests, which receives exactly one answer to each request that it does not abandon.
pub trait Frontend {
    /// Delivers the answer to a request. `sequence` is the sequence number that the request was submitted with.
    fn answer(&self, sequence: u64, answer: Answer);

    /// Whether the client of the requests is still connected, as far as the kernel knows now. The end of its connection
    /// may not have been read yet.
    fn is_client_connected(&self) -> bool {
        true
    }

    /// Whether further commands of the client wait for the answer to a request, read or unread. They are lost if the
    /// connection has to be closed within that answer.
    fn has_commands_behind(&self, _sequence: u64) -> bool {
        false
    }
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The request was served; holds the value as the host returned it.
    Served(Value),
    /// The request was served with a long value, which is streamed.
    Streaming(Rc<StreamingBody>),
    /// The request was rejected before any host executed it, so a retry is safe.
    Rejected {
        /// The time that the client should wait before a retry; zero if none is advised.
        retry_after: Duration,
    },
    /// The request failed. Whether a host executed it is unknown.
    Failed,
}

impl Answer {
    /// Returns the kind of the answer, for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Streaming(_) => "streaming",
            Answer::Rejected { .. } => "rejected",
            Answer::Failed => "failed",
        }
    }
}

/// The command of a request. Its arguments are forwarded unchanged, except for the remaining wait that one of them
/// contains.
#[derive(Debug, Default)]
pub struct Payload {
    /// The command as the client sent it: each argument is followed by a line end.
    pub bytes: Vec<u8>,
    /// The range of each argument in `bytes`.
    pub arguments: Vec<Range<usize>>,
    /// The range in `bytes` of the remaining wait, a decimal number of milliseconds.
    pub wait: Range<usize>,
    /// The memory that the request takes; `None` if nobody counts it.
    pub reservation: Option<Reservation>,
}

/// A request as a frontend submits it.
pub struct Request {
    /// The id that the client gave the request.
    pub id: RequestId,
    /// The index of the request's class; past the last index if the class is unknown.
    pub class: ClassIndex,
    /// The index of the customer's plan; past the last index if the plan is unknown.
    pub plan: PlanIndex,
    /// The customer whose quota is charged.
    pub customer: CustomerId,
    /// The number of quota units that the request takes.
    pub units: f64,
    /// The number of limiters that the customer's requests may arrive through.
    pub spread: u32,
    /// The first of these limiters.
    pub first_limiter: LimiterIndex,
    /// The flags as received. No decision depends on them.
    pub flags: u64,
    /// The time that the client waits for an answer, counted from the request's arrival.
    pub wait: Duration,
    /// The arguments of the command for a host.
    pub payload: Payload,
}
