//! The parts of a limiter that the stages work with.

use crate::net::config::Limits;
use crate::net::counter::CounterClient;
use crate::net::engine::{ActionExecutor, EngineDriver};
use crate::net::frontend::FrontendContext;
use crate::net::resp::upstream::UpstreamPool;
use crate::net::shutdown::Shutdown;
use crate::net::usage_export::UsageRecorder;
use std::cell::OnceCell;
use std::rc::{Rc, Weak};

/// The stages of one limiter.
pub struct Pipeline {
    /// Sizes, counts and times.
    pub(super) limits: Rc<Limits>,
    /// Decides on requests.
    pub(super) engine: Rc<EngineDriver>,
    /// The connections to hosts.
    pub(super) upstream: Rc<UpstreamPool>,
    /// The connections to the counter.
    pub(super) counter: Rc<CounterClient>,
    /// The phase of the shutdown.
    pub(super) shutdown: Rc<Shutdown>,
    /// Set where usage is exported.
    usage_recorder: OnceCell<Rc<UsageRecorder>>,
    /// The pipeline itself, for the tasks that it starts.
    this: Weak<Pipeline>,
}

impl Pipeline {
    /// A pipeline that carries out the actions that the engine orders.
    pub fn new(
        limits: &Rc<Limits>,
        engine: &Rc<EngineDriver>,
        upstream: &Rc<UpstreamPool>,
        counter: &Rc<CounterClient>,
        shutdown: &Rc<Shutdown>,
    ) -> Rc<Self> {
        let pipeline = Rc::new_cyclic(|this: &Weak<Pipeline>| Pipeline {
            limits: limits.clone(),
            engine: engine.clone(),
            upstream: upstream.clone(),
            counter: counter.clone(),
            shutdown: shutdown.clone(),
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

    /// The usage recorder, where usage is exported.
    pub(super) fn usage_recorder(&self) -> Option<&Rc<UsageRecorder>> {
        self.usage_recorder.get()
    }

    /// The pipeline itself, for a task that it starts.
    pub(super) fn this(&self) -> Option<Rc<Pipeline>> {
        self.this.upgrade()
    }

    /// The parts of this limiter that a frontend works with.
    pub fn frontend_context(self: &Rc<Self>) -> FrontendContext {
        FrontendContext {
            handler: self.clone(),
            limits: self.limits.clone(),
            shutdown: self.shutdown.clone(),
            buffered_bytes: self.engine.buffered_bytes(),
        }
    }
}
