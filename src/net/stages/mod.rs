//! The stages that a request passes through: [`accept`], [`admit`], [`route`], [`dispatch`], [`attempt`], [`complete`].

pub mod accept;
pub mod admit;
pub mod attempt;
mod call_end;
pub mod complete;
pub mod dispatch;
mod pipeline;
pub mod route;
mod stream_value;

#[cfg(test)]
mod tests;

pub use pipeline::Pipeline;

use super::engine::{ActionExecutor, Frontend, Request};
use super::frontend::RequestHandler;
use crate::api::{Action, RequestId};
use std::rc::Rc;

impl ActionExecutor for Pipeline {
    fn execute(&self, action: Action) {
        if let Some(pipeline) = self.as_rc() {
            route::execute(&pipeline, action);
        }
    }
}

impl RequestHandler for Pipeline {
    fn handle_request(&self, frontend: Rc<dyn Frontend>, sequence: u64, request: Request) {
        if let Some(pipeline) = self.as_rc() {
            accept::accept(&pipeline, frontend, sequence, request);
        }
    }

    fn abandon_request(&self, id: RequestId) {
        complete::abandon(self, id);
    }
}
