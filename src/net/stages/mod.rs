//! The stages that a request passes: [`accept`], [`admit`], [`route`], [`dispatch`], [`attempt`], [`complete`].

pub mod accept;
pub mod admit;
pub mod attempt;
pub mod complete;
pub mod dispatch;
pub mod route;

#[cfg(test)]
mod tests;

use super::config::Limits;
use super::counter::CounterClient;
use super::engine::{ActionExecutor, EngineDriver, Frontend, Request};
use super::frontend::{FrontendContext, RequestHandler};
use super::metrics::SharedMetrics;
use super::resp::upstream::UpstreamPool;
use super::shutdown::Shutdown;
use super::usage_export::UsageRecorder;
use crate::api::{Action, RequestId};
use std::cell::OnceCell;
use std::rc::{Rc, Weak};

/// The parts of a limiter that a request passes through.
pub struct PipelineParts {
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// Decides on requests.
    pub engine: Rc<EngineDriver>,
    /// The connections to hosts.
    pub upstream: Rc<UpstreamPool>,
    /// The connections to the counter.
    pub counter: Rc<CounterClient>,
    /// The phase of the shutdown.
    pub shutdown: Rc<Shutdown>,
    /// Counts connections to hosts.
    pub metrics: Option<SharedMetrics>,
}

/// The stages of one limiter.
pub struct Pipeline {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    counter: Rc<CounterClient>,
    shutdown: Rc<Shutdown>,
    metrics: Option<SharedMetrics>,
    /// Set where usage is exported.
    usage_recorder: OnceCell<Rc<UsageRecorder>>,
    /// The pipeline itself, for the tasks that it starts.
    this: Weak<Pipeline>,
}

impl Pipeline {
    /// A pipeline that carries out what the engine orders.
    pub fn new(parts: PipelineParts) -> Rc<Self> {
        let pipeline = Rc::new_cyclic(|this: &Weak<Pipeline>| Pipeline {
            limits: parts.limits,
            engine: parts.engine,
            upstream: parts.upstream,
            counter: parts.counter,
            shutdown: parts.shutdown,
            metrics: parts.metrics,
            usage_recorder: OnceCell::new(),
            this: this.clone(),
        });
        let executor: Weak<dyn ActionExecutor> = pipeline.this.clone();
        pipeline.engine.set_executor(executor);
        pipeline
    }

    /// Records the usage of each attempt from now on; the first recorder set stays.
    pub fn record_usage(&self, usage_recorder: Rc<UsageRecorder>) {
        self.usage_recorder.get_or_init(|| usage_recorder);
    }

    /// What a frontend of this limiter is given.
    pub fn frontend_context(self: &Rc<Self>) -> FrontendContext {
        FrontendContext {
            handler: self.clone(),
            limits: self.limits.clone(),
            shutdown: self.shutdown.clone(),
            buffered_bytes: self.engine.buffered_bytes(),
        }
    }
}

impl ActionExecutor for Pipeline {
    fn execute(&self, action: Action) {
        if let Some(pipeline) = self.this.upgrade() {
            route::carry_out(&pipeline, action);
        }
    }
}

impl RequestHandler for Pipeline {
    fn handle_request(&self, frontend: Rc<dyn Frontend>, place: u64, request: Request) {
        if let Some(pipeline) = self.this.upgrade() {
            accept::accept(&pipeline, frontend, place, request);
        }
    }

    fn abandon_request(&self, id: RequestId) {
        complete::abandon(self, id);
    }
}
