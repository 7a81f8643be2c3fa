//! A decision engine that a test drives by hand: the test is its clock, its clients, its hosts and its counter.

use crate::actions::{Actions, OrderedAttempt};
use crate::settings::{host_of_pair, DEADLINE, MILLISECOND, SECOND};
use quartzcleat_decision::api::{
    AttemptIndex, ClassIndex, CustomerId, Event, HostEntry, HostId, LimiterIndex, ListMode,
    LoadReport, Nanos, Outcome, PlanIndex, RequestId, Settings, Timer,
};
use quartzcleat_decision::DecisionEngine;

/// When a harness starts. A window of the quotas begins then.
pub const START: Nanos = 1_000 * SECOND;
/// The seed of an engine where a test does not choose one.
const DEFAULT_SEED: u64 = 7;
/// How long the counter takes to reply.
const COUNTER_REPLY_TIME: Nanos = 4 * MILLISECOND;

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct EndedAttempt {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptIndex,
    /// Its host.
    pub host: HostId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Nanos,
    /// The request is finished, by this outcome or before it.
    pub is_request_finished: bool,
    /// The customer's metered use.
    pub metered_use: u64,
    /// The request's true units; zero: not reported.
    pub true_units: f64,
    /// The host's load report.
    pub load: LoadReport,
}

impl EndedAttempt {
    /// The first attempt of a request, which ended in a millisecond. Only a good outcome finishes the request.
    #[must_use]
    pub fn new(id: RequestId, host: HostId, outcome: Outcome) -> Self {
        EndedAttempt {
            id,
            attempt: AttemptIndex(0),
            host,
            outcome,
            elapsed: MILLISECOND,
            is_request_finished: outcome == Outcome::Good,
            metered_use: 0,
            true_units: 0.0,
            load: LoadReport::default(),
        }
    }

    /// The first attempt of a request, which succeeded.
    #[must_use]
    pub fn good(id: RequestId, host: HostId) -> Self {
        Self::new(id, host, Outcome::Good)
    }

    /// The same end of another attempt.
    #[must_use]
    pub fn of_attempt(self, attempt: u32) -> Self {
        EndedAttempt {
            attempt: AttemptIndex(attempt),
            ..self
        }
    }

    /// The same end after another time.
    #[must_use]
    pub fn after(self, elapsed: Nanos) -> Self {
        EndedAttempt { elapsed, ..self }
    }

    /// The same end of a request that had its final answer before.
    #[must_use]
    pub fn of_finished_request(self) -> Self {
        EndedAttempt {
            is_request_finished: true,
            ..self
        }
    }
}

/// A request that the engine has received, with its actions.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request.
    pub id: RequestId,
    /// The actions that it caused.
    pub actions: Actions,
}

/// A decision engine under test.
pub struct EngineHarness {
    /// The engine.
    pub engine: DecisionEngine,
    /// The present time.
    pub now: Nanos,
    /// The number of limiters through which requests of a customer come.
    pub spread: u32,
    last_request: u64,
}

impl EngineHarness {
    /// An engine at [`START`] with hosts past their slow start, two to a cell.
    #[must_use]
    pub fn new(settings: Settings, hosts: u32) -> Self {
        Self::with_seed(settings, hosts, DEFAULT_SEED)
    }

    /// The same with a seed of its own.
    #[must_use]
    pub fn with_seed(settings: Settings, hosts: u32, seed: u64) -> Self {
        let mut harness = EngineHarness {
            engine: DecisionEngine::new(settings, seed, START),
            now: START,
            spread: 2,
            last_request: 0,
        };
        harness.update_hosts(ListMode::Restored, (1..=hosts).map(host_of_pair).collect());
        harness
    }

    /// Gives the engine an event.
    pub fn handle(&mut self, event: Event) -> Actions {
        let mut actions = Actions::default();
        self.engine.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets a timer fire.
    pub fn fire(&mut self, timer: Timer) -> Actions {
        self.handle(Event::Timer { timer })
    }

    /// Delivers a host list, or changes to it.
    pub fn update_hosts(&mut self, mode: ListMode, entries: Vec<HostEntry>) -> Actions {
        self.handle(Event::Hosts {
            version: 1,
            mode,
            entries,
        })
    }

    /// The id that the next request will have.
    #[must_use]
    pub fn next_id(&self) -> RequestId {
        RequestId(self.last_request + 1)
    }

    /// Sends a request of a customer of the first plan.
    pub fn request(&mut self, class: ClassIndex, customer: u64, units: f64) -> ReceivedRequest {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let actions = self.handle(Event::Request {
            id,
            class,
            plan: PlanIndex(0),
            customer: CustomerId(customer),
            budget: DEADLINE,
            units,
            spread: self.spread,
            first_limiter: LimiterIndex(0),
            flags: 0,
        });
        ReceivedRequest { id, actions }
    }

    /// Sends a request that the counter's replies admit; the actions are those of the last reply.
    ///
    /// # Panics
    /// Panics where the engine does not call the counter.
    pub fn admit(&mut self, class: ClassIndex, customer: u64, units: f64) -> ReceivedRequest {
        let ReceivedRequest { id, actions } = self.request(class, customer, units);
        let call = actions.counter_call().expect("an add before the decision");
        let mut actions = self.reply_with_total(&call.name, call.amount);
        if let Some(read) = actions.counter_call() {
            actions = self.reply_with_total(&read.name, 0.0);
        }
        ReceivedRequest { id, actions }
    }

    /// Sends a request of one unit that is admitted and goes to a host.
    ///
    /// # Panics
    /// Panics where it does not.
    pub fn send(&mut self, class: ClassIndex, customer: u64) -> OrderedAttempt {
        let admitted = self.admit(class, customer, 1.0);
        let attempt = admitted.actions.attempt();
        attempt.expect("the request goes to a host")
    }

    /// Ends an attempt.
    pub fn end_attempt(&mut self, ended: EndedAttempt) -> Actions {
        self.handle(Event::AttemptDone {
            id: ended.id,
            attempt: ended.attempt,
            host: ended.host,
            outcome: ended.outcome,
            elapsed: ended.elapsed,
            is_request_finished: ended.is_request_finished,
            metered_use: ended.metered_use,
            true_units: ended.true_units,
            load: ended.load,
        })
    }

    /// Ends a request's first attempt well.
    pub fn serve(&mut self, sent: OrderedAttempt) -> Actions {
        self.end_attempt(EndedAttempt::good(sent.id, sent.host))
    }

    /// Ends a request's first attempt without finishing the request.
    pub fn fail(&mut self, sent: OrderedAttempt, outcome: Outcome) -> Actions {
        self.end_attempt(EndedAttempt::new(sent.id, sent.host, outcome))
    }

    /// Ends a call to the counter well.
    pub fn reply_with_total(&mut self, name: &str, total: f64) -> Actions {
        self.end_call(name, Outcome::Good, total)
    }

    /// Ends a call to the counter without a total.
    pub fn fail_call(&mut self, name: &str, outcome: Outcome) -> Actions {
        self.end_call(name, outcome, 0.0)
    }

    /// Ends a call to the counter.
    pub fn end_call(&mut self, name: &str, outcome: Outcome, total: f64) -> Actions {
        self.handle(Event::CounterReplied {
            name: name.to_owned(),
            outcome,
            total,
            elapsed: COUNTER_REPLY_TIME,
        })
    }
}
