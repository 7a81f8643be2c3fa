//! Calls to hosts: attempts of requests, and health checks.

use super::request::Payload;
use crate::api::{AttemptIndex, CustomerId, HostId, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The command that a call sends.
#[derive(Debug)]
pub enum HostCommand {
    /// An attempt of a request.
    Attempt {
        /// The id of the request.
        id: RequestId,
        /// The index of the attempt within the request.
        attempt: AttemptIndex,
        /// The arguments for the host.
        payload: Rc<Payload>,
        /// The charge to the customer's quota.
        charge: Charge,
    },
    /// A health check.
    HealthCheck,
}

/// The charge of a request to its customer's quota, as announced by the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    /// The customer whose quota is charged.
    pub customer: CustomerId,
    /// The announced number of units.
    pub units: f64,
}

/// A call to a host that the decision engine requested.
#[derive(Debug)]
pub struct HostCall {
    /// The command to send.
    pub command: HostCommand,
    /// The host to call.
    pub host: HostId,
    /// When the engine requested the call.
    pub started_at: Instant,
    /// The moment until which the command may be written. The call fails if it is not written completely by then.
    pub send_by: Instant,
    /// When the call times out.
    pub deadline: Instant,
    /// The cancellation state. [`OpenRequests`](super::OpenRequests) shares that of an attempt in flight.
    pub cancellation: Rc<Cancellation>,
}

/// The cancellation state of a call, and whether its command was sent.
#[derive(Debug, Default)]
pub struct Cancellation {
    /// Notified when the engine cancels the call, or when its request is closed before the command is sent.
    pub requested: Notify,
    /// Whether the whole command has been written, so that the host may execute it.
    pub sent: Cell<bool>,
}
