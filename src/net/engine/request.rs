//! A client's request as a frontend hands it in, and its one final answer.

use crate::api::{ClassIndex, CustomerId, LimiterIndex, PlanIndex, RequestId};
use crate::net::streaming_body::StreamingBody;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// The origin of requests, which gets one answer to each.
pub trait Frontend {
    /// Gives the answer to a request; `place` is its place among the requests of the frontend.
    fn answer(&self, place: u64, answer: Answer);
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the value as the host returned it.
    Served(Vec<u8>),
    /// Served, with a long value that is streamed.
    Streaming(Rc<StreamingBody>),
    /// Rejected before anything ran: a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries; zero: no advice.
        retry_after: Duration,
    },
    /// Failed; whether it ran is not known.
    Failed,
}

/// The arguments of a command for a host. They are passed on unchanged, but for the remaining wait that one of them
/// contains.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// The arguments, one behind another.
    pub bytes: Vec<u8>,
    /// The range of each argument in `bytes`.
    pub arguments: Vec<Range<usize>>,
    /// The range of the remaining wait in `bytes`, in milliseconds as decimal text.
    pub wait: Range<usize>,
}

/// A request as a frontend hands it in.
#[derive(Clone)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// Its class; past the last one where the class is not known.
    pub class: ClassIndex,
    /// Its plan; past the last one where the plan is not known.
    pub plan: PlanIndex,
    /// Its customer.
    pub customer: CustomerId,
    /// The units that it takes from the quota.
    pub units: f64,
    /// How many limiters the customer's requests may arrive through.
    pub spread: u32,
    /// The first of these limiters.
    pub first_limiter: LimiterIndex,
    /// Flags as received; they decide nothing.
    pub flags: u64,
    /// How long the client waits.
    pub wait: Duration,
    /// The command for a host.
    pub payload: Payload,
}
