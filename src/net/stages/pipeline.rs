//! The components of a limiter that the stages use.

use crate::net::config::Limits;
use crate::net::counter::CounterClient;
use crate::net::engine::{ActionExecutor, EngineDriver};
use crate::net::frontend::FrontendContext;
use crate::net::memory::{MemoryBudget, Owner, Reservation};
use crate::net::resp::upstream::UpstreamPool;
use crate::net::shutdown::Shutdown;
use crate::net::usage_export::UsageRecorder;
use std::cell::{OnceCell, RefCell};
use std::rc::{Rc, Weak};

/// The request pipeline of one limiter: the components that its stages share.
pub struct Pipeline {
    /// Limits on sizes, counts and times.
    pub(super) limits: Rc<Limits>,
    /// The decision engine and the open requests.
    pub(super) engine: Rc<EngineDriver>,
    /// The hosts and the connections to them.
    pub(super) upstream: Rc<UpstreamPool>,
    /// The counter client.
    pub(super) counter: Rc<CounterClient>,
    /// The memory that the process holds for others.
    pub(super) memory: Rc<MemoryBudget>,
    /// The memory of the engine's customers.
    customers: RefCell<Reservation>,
    /// The phase of the shutdown.
    pub(super) shutdown: Rc<Shutdown>,
    /// The recorder of usage; unset unless usage is exported.
    usage_recorder: OnceCell<Rc<UsageRecorder>>,
    /// Reference to the pipeline itself, for the tasks that it spawns.
    weak_self: Weak<Pipeline>,
}

impl Pipeline {
    /// Creates a pipeline and sets it as the executor of the engine's actions.
    pub fn new(
        limits: &Rc<Limits>,
        engine: &Rc<EngineDriver>,
        upstream: &Rc<UpstreamPool>,
        counter: &Rc<CounterClient>,
        shutdown: &Rc<Shutdown>,
        memory: &Rc<MemoryBudget>,
    ) -> Rc<Self> {
        let pipeline = Rc::new_cyclic(|weak_self: &Weak<Pipeline>| Pipeline {
            limits: limits.clone(),
            engine: engine.clone(),
            upstream: upstream.clone(),
            counter: counter.clone(),
            memory: memory.clone(),
            customers: RefCell::new(memory.hold(Owner::Customers, 0)),
            shutdown: shutdown.clone(),
            usage_recorder: OnceCell::new(),
            weak_self: weak_self.clone(),
        });
        let executor: Weak<dyn ActionExecutor> = pipeline.weak_self.clone();
        pipeline.engine.set_executor(executor);
        pipeline
    }

    /// Records the usage of each attempt from now on. Only the first call has an effect.
    pub fn record_usage(&self, usage_recorder: Rc<UsageRecorder>) {
        self.usage_recorder.get_or_init(|| usage_recorder);
    }

    /// Returns the usage recorder, or `None` if usage is not exported.
    pub(super) fn usage_recorder(&self) -> Option<&Rc<UsageRecorder>> {
        self.usage_recorder.get()
    }

    /// Returns a strong reference to the pipeline itself; `None` only while the pipeline is being dropped.
    pub(super) fn as_rc(&self) -> Option<Rc<Pipeline>> {
        self.weak_self.upgrade()
    }

    /// Returns the memory budget of this limiter.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    /// Returns whether the memory allows another request, with the customers that the engine knows by now. Customers have a
    /// limit of their own: however many of them come once, there is room for the requests of the others.
    pub(super) fn has_room_for_requests(&self) -> bool {
        let customer_bytes = self.limits.memory.customer_bytes;
        self.engine
            .limit_customers(self.memory.customer_capacity() / customer_bytes);
        let bytes = self.engine.customer_count() * customer_bytes;
        self.customers.borrow_mut().resize(bytes);
        self.memory.has_room_for_requests()
    }

    /// Returns the components of this limiter that a frontend uses.
    pub fn frontend_context(self: &Rc<Self>) -> FrontendContext {
        FrontendContext {
            handler: self.clone(),
            limits: self.limits.clone(),
            shutdown: self.shutdown.clone(),
            memory: self.memory.clone(),
        }
    }
}
