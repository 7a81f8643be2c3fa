//! The interface between a frontend and the rest of a limiter.
//!
//! A frontend knows neither the stages nor the other parts of a limiter. It translates its protocol to
//! [`Request`] and [`Answer`](super::engine::Answer).

use super::config::Limits;
use super::engine::{Frontend, Request};
use super::shutdown::Shutdown;
use crate::api::RequestId;
use std::cell::Cell;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Where frontends hand requests in. Each request handed in gets exactly one answer, through its [`Frontend`].
pub trait RequestHandler {
    /// Handles a request; its answer may be given before this returns.
    fn handle_request(&self, frontend: Rc<dyn Frontend>, place: u64, request: Request);
    /// Closes a request whose client has gone, without an answer.
    fn abandon_request(&self, id: RequestId);
}

/// The parts of a limiter that every frontend works with.
#[derive(Clone)]
pub struct FrontendContext {
    /// Where requests are handed in.
    pub handler: Rc<dyn RequestHandler>,
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// The phase of the shutdown, and the number of client connections.
    pub shutdown: Rc<Shutdown>,
    /// Bytes of open requests, and of answers that clients have not read.
    pub buffered_bytes: Rc<Cell<usize>>,
}
