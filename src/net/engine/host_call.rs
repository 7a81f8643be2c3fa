//! A command on its way to a host: an attempt of a request, or a health check.

use super::request::Payload;
use crate::api::{AttemptIndex, CustomerId, HostId, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The command of a call.
#[derive(Debug)]
pub enum HostCommand {
    /// An attempt of a request.
    Attempt {
        /// The request.
        id: RequestId,
        /// The attempt's index.
        attempt: AttemptIndex,
        /// The arguments for the host.
        payload: Rc<Payload>,
        /// The charge of the request.
        charge: Charge,
    },
    /// A health check.
    HealthCheck,
}

/// The charge of a request to its customer's quota, as the client announces it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    /// The customer whose quota is charged.
    pub customer: CustomerId,
    /// The units.
    pub units: f64,
}

/// One call that the decision engine ordered.
#[derive(Debug)]
pub struct HostCall {
    /// The command.
    pub command: HostCommand,
    /// The host.
    pub host: HostId,
    /// When the engine ordered it.
    pub started_at: Instant,
    /// The command is written completely by then, or not at all.
    pub send_by: Instant,
    /// When the call is given up.
    pub deadline: Instant,
    /// Cancels the call.
    pub cancellation: Rc<Cancellation>,
}

/// How a call is cancelled, and whether its host has the whole command.
#[derive(Debug, Default)]
pub struct Cancellation {
    /// Notified when the call is cancelled, by the engine or because its request was closed before it was sent.
    pub requested: Notify,
    /// The last byte has been written: the host may run it.
    pub sent: Cell<bool>,
}
