//! The interface between a frontend and the rest of a limiter.
//!
//! A frontend depends on neither the stages nor the other components of a limiter. It translates its protocol to
//! [`Request`] and [`Answer`](super::engine::Answer).

use super::config::Limits;
use super::engine::{Frontend, Request};
use super::memory::MemoryBudget;
use super::shutdown::Shutdown;
use crate::api::RequestId;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The recipient of the requests of all frontends. It answers each request exactly once, through the request's
/// [`Frontend`], unless the request is abandoned.
pub trait RequestHandler {
    /// Handles a request. Its answer is delivered with the same `sequence`, possibly before this returns.
    fn handle_request(&self, frontend: Rc<dyn Frontend>, sequence: u64, request: Request);
    /// Closes a request whose client has disconnected, without an answer.
    fn abandon_request(&self, id: RequestId);
}

/// The components of a limiter that every frontend uses.
#[derive(Clone)]
pub struct FrontendContext {
    /// The handler of the requests.
    pub handler: Rc<dyn RequestHandler>,
    /// Limits on sizes, counts and times.
    pub limits: Rc<Limits>,
    /// The phase of the shutdown and the number of client connections.
    pub shutdown: Rc<Shutdown>,
    /// The memory that the process holds for others.
    pub memory: Rc<MemoryBudget>,
}
