//! The stages that a request passes: [`accept`], [`admit`], [`route`], [`dispatch`], [`attempt`], [`complete`].

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
        if let Some(pipeline) = self.this() {
            route::carry_out(&pipeline, action);
        }
    }
}

impl RequestHandler for Pipeline {
    fn handle_request(&self, frontend: Rc<dyn Frontend>, place: u64, request: Request) {
        if let Some(pipeline) = self.this() {
            accept::accept(&pipeline, frontend, place, request);
        }
    }

    fn abandon_request(&self, id: RequestId) {
        complete::abandon(self, id);
    }
}
