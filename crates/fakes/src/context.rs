//! State shared by the tasks of a run: the scenario, the clock, the records and the state of each fake. All tasks run
//! on one thread; no borrow is held across an `await`.

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
    /// The operation that the client wants executed. A request and its retry have the same one.
    pub(crate) operation: u64,
    /// The number of attempts that have reached a host.
    pub(crate) attempts: u32,
}

/// An operation within the group of hosts that deduplicates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DeduplicationKey {
    pub(crate) group: u32,
    pub(crate) operation: u64,
}

/// A clock that reads Unix time at its start and advances monotonically from there.
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
    /// The state of each request by its id on the wire.
    pub(crate) requests: RefCell<BTreeMap<RequestId, RequestState>>,
    /// When each operation was first executed within its current deduplication window.
    first_executions: RefCell<BTreeMap<DeduplicationKey, Nanos>>,
    /// The number of clients that still wait for an answer.
    pub(crate) waiting_clients: Cell<usize>,
    /// The last answer for each operation; `None` while a request for it is in flight.
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

    /// Returns the current time as Unix time in nanoseconds.
    pub(crate) fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Records an event with the current time.
    pub(crate) fn record(&self, event: Fact) {
        let now = self.now();
        self.recorder.borrow_mut().record(now, event);
    }

    /// Records a note for readers of the timeline; no invariant depends on it.
    pub(crate) fn record_note(&self, text: String) {
        self.record(Fact::Note(text));
    }

    /// Removes and returns all records.
    pub(crate) fn take_records(&self) -> Vec<Record> {
        self.recorder.borrow_mut().take_records()
    }

    /// Ends a host's process (`Dead`) or its machine (`Unreachable`). Only the end of the process resets its attempts
    /// in flight.
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

    /// Returns a request id that this run has not used.
    pub(crate) fn next_request(&self) -> RequestId {
        self.last_request.set(self.last_request.get() + 1);
        RequestId(self.last_request.get())
    }

    /// Returns the option that the scenario's variant takes at a choice point, or `None` if there are none.
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

    /// Returns the one-way network delay between a limiter and a host.
    pub(crate) fn network_delay(&self, limiter: LimiterIndex, host: HostIndex) -> Duration {
        let processes = &self.scenario.processes;
        let same_zone = processes.limiters[limiter.as_usize()].zone == processes.hosts[host.0].zone;
        Duration::from_nanos(if same_zone {
            self.scenario.network.same_zone
        } else {
            self.scenario.network.cross_zone
        })
    }

    /// Returns whether an operation is a duplicate: executed before within the deduplication window. If it is not,
    /// records its execution, which starts a new window.
    pub(crate) fn register_execution(&self, key: DeduplicationKey, window: Nanos) -> bool {
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

    /// Returns the address at which a limiter accepts clients, or `None` while its process is not running.
    pub(crate) fn limiter_address(&self, limiter: LimiterIndex) -> Option<SocketAddr> {
        let limiters = self.limiters.borrow();
        limiters
            .get(limiter.as_usize())
            .filter(|limiter| limiter.process.is_running())
            .map(|limiter| limiter.addresses.listen)
    }
}
