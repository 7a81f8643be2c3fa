//! State that the tasks of a run share: the scenario, the clock, the records and the state of each fake. All tasks run on one
//! thread; no borrow is held across an `await`.

use crate::limiter::Limiter;
use crate::recorder::Recorder;
use crate::state::{FakeCounter, FakeDiscovery, FakeHost};
use quartzcleat_decision::api::{ClassIndex, LimiterIndex, Nanos, Outcome, RequestId};
use quartzcleat_invariants::{Answer, Fact, HostIndex, Record};
use quartzcleat_simulation::host::HostStatus;
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::{option_of_variant, Scenario};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// The state of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) class: ClassIndex,
    /// The operation that the client wants executed; its requests share it.
    pub(crate) operation: u64,
    /// Attempts that have reached a host.
    pub(crate) attempts: u32,
}

/// An operation within the group of hosts that deduplicates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DeduplicationKey {
    pub(crate) group: u32,
    pub(crate) operation: u64,
}

/// Unix time, advanced by the monotonic clock.
#[derive(Debug)]
struct Clock {
    start: Instant,
    start_unix: Nanos,
}

impl Clock {
    fn start() -> Self {
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed();
        Clock {
            start: Instant::now(),
            start_unix: since_epoch.map_or(0, |age| age.as_nanos() as Nanos),
        }
    }

    fn now(&self) -> Nanos {
        self.start_unix + self.start.elapsed().as_nanos() as Nanos
    }
}

/// The shared state of a run.
pub(crate) struct Context {
    pub(crate) scenario: Scenario,
    clock: Clock,
    recorder: RefCell<Recorder>,
    pub(crate) hosts: RefCell<Vec<FakeHost>>,
    pub(crate) counter: RefCell<FakeCounter>,
    pub(crate) discovery: RefCell<FakeDiscovery>,
    pub(crate) limiters: RefCell<Vec<Limiter>>,
    /// Requests by their id on the wire.
    pub(crate) requests: RefCell<BTreeMap<RequestId, RequestState>>,
    /// When each idempotency key was first executed.
    first_executions: RefCell<BTreeMap<DeduplicationKey, Nanos>>,
    /// Clients that still wait for an answer.
    pub(crate) waiting_clients: Cell<usize>,
    /// The last answer for each operation; `None` while a request for it is open.
    pub(crate) operations: RefCell<BTreeMap<u64, Option<Answer>>>,
    last_request: Cell<u64>,
}

impl Context {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let counter = FakeCounter::new(&scenario.counter);
        Context {
            scenario,
            clock: Clock::start(),
            recorder: RefCell::default(),
            hosts: RefCell::default(),
            counter: RefCell::new(counter),
            discovery: RefCell::new(FakeDiscovery::new()),
            limiters: RefCell::default(),
            requests: RefCell::default(),
            first_executions: RefCell::default(),
            waiting_clients: Cell::new(0),
            operations: RefCell::default(),
            last_request: Cell::new(0),
        }
    }

    /// The current time of the run.
    pub(crate) fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Records an event now.
    pub(crate) fn record(&self, event: Fact) {
        let now = self.now();
        self.recorder.borrow_mut().record(now, event);
    }

    /// Records a remark for readers.
    pub(crate) fn remark(&self, text: String) {
        self.record(Fact::Note(text));
    }

    /// Removes and returns all records.
    pub(crate) fn take_records(&self) -> Vec<Record> {
        self.recorder.borrow_mut().take_records()
    }

    /// Ends a host's process or its machine. The end of a process resets its attempts.
    pub(crate) fn end_host(&self, host: HostIndex, status: HostStatus) {
        self.hosts.borrow_mut()[host.0].end(status);
        if status != HostStatus::Dead {
            return;
        }
        let in_flight = self.recorder.borrow().in_flight_at(host);
        for attempt in in_flight {
            self.record(Fact::AttemptEnded {
                request: attempt.request,
                attempt: attempt.attempt,
                outcome: Outcome::Reset,
            });
        }
    }

    /// A request id that this run has not used.
    pub(crate) fn next_request(&self) -> RequestId {
        self.last_request.set(self.last_request.get() + 1);
        RequestId(self.last_request.get())
    }

    /// The option that the scenario's variant takes at a point that is left open; `None` where there are no options.
    pub(crate) fn choose<T: Copy>(
        &self,
        point: ChoicePoint,
        number: usize,
        options: &[T],
    ) -> Option<T> {
        let variant = self.scenario.variant.unwrap_or(0);
        options
            .get(option_of_variant(variant, point, number, options.len()))
            .copied()
    }

    /// The one-way network delay between a limiter and a host.
    pub(crate) fn network_delay(&self, limiter: LimiterIndex, host: HostIndex) -> Duration {
        let processes = &self.scenario.processes;
        let same_zone = processes.limiters[limiter.as_usize()].zone == processes.hosts[host.0].zone;
        Duration::from_nanos(if same_zone {
            self.scenario.network.same_zone
        } else {
            self.scenario.network.cross_zone
        })
    }

    /// Whether an operation was executed within the deduplication window; otherwise remembers its execution.
    pub(crate) fn is_duplicate(&self, key: DeduplicationKey, window: Nanos) -> bool {
        let now = self.now();
        let mut first_executions = self.first_executions.borrow_mut();
        let duplicate = first_executions
            .get(&key)
            .is_some_and(|first| now < first + window);
        if !duplicate {
            first_executions.insert(key, now);
        }
        duplicate
    }

    /// The address at which a limiter accepts clients, while its process runs.
    pub(crate) fn limiter_address(&self, limiter: LimiterIndex) -> Option<SocketAddr> {
        let limiters = self.limiters.borrow();
        limiters
            .get(limiter.as_usize())
            .filter(|limiter| limiter.process.is_running())
            .map(|limiter| limiter.addresses.listen)
    }
}
