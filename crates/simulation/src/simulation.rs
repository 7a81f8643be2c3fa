//! Discrete-event simulation of a scenario: handles one event after another in virtual time.
//!
//! [`Simulation`] owns the state of all processes. Its methods are grouped by concern: [`setup`] starts a run,
//! [`limiters`] passes events to the decision engines and executes their actions, [`attempts`] models attempts from
//! limiter to host and back, [`counter_calls`] does the same for calls to the counter, [`clients`] sends requests and
//! receives answers, [`discovery`] notifies limiters of hosts, and [`environment`] applies the scenario's steps.

mod attempts;
mod clients;
mod counter_calls;
mod discovery;
mod environment;
mod limiters;
mod setup;

use crate::counter::Counter;
use crate::event_queue::{Event, EventQueue, LimiterIncarnation};
use crate::executed_keys::ExecutedKeys;
use crate::fingerprint::{HistoryHash, RunState};
use crate::host::Host;
use crate::limiter::Limiter;
use crate::network::{Network, Variation};
use crate::oracle::{ChoicePoint, Oracle};
use crate::scenario::{option_of_variant, Scenario};
use clients::Clients;
use discovery::Discovery;
use quartzcleat_decision::api::{LimiterIndex, Nanos};
use quartzcleat_invariants::{Fact, Record};

/// The result of a run.
#[derive(Clone, Debug)]
pub struct SimulationRun {
    /// The observed facts, in order of time.
    pub records: Vec<Record>,
    /// Whether the run reached its end; `false` if the oracle stopped it.
    pub is_complete: bool,
    /// Number of events handled, including the scenario's steps.
    pub events: u64,
    /// Virtual time at the end of the run: Unix time in nanoseconds.
    pub end: Nanos,
}

/// Runs a scenario once, with the choices of `oracle` wherever the scenario lists several options.
pub fn simulate(scenario: &Scenario, oracle: &mut dyn Oracle) -> SimulationRun {
    let mut simulation = Simulation::new(scenario, oracle);
    let is_complete = simulation.run().is_ok();
    SimulationRun {
        records: simulation.records,
        is_complete,
        events: simulation.events,
        end: simulation.now,
    }
}

/// Error that ends a run because the oracle stopped it.
#[derive(Debug)]
struct Stopped;

struct Simulation<'a> {
    scenario: &'a Scenario,
    oracle: &'a mut dyn Oracle,
    now: Nanos,
    start: Nanos,
    seed: u64,
    queue: EventQueue,
    limiters: Vec<Limiter>,
    hosts: Vec<Host>,
    counter: Counter,
    discovery: Discovery,
    clients: Clients,
    network: Network,
    variation: Variation,
    executed_keys: ExecutedKeys,
    records: Vec<Record>,
    history: HistoryHash,
    events: u64,
    /// Choices made since the current event began; the rest of the state may not reflect them yet.
    choices: Vec<usize>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, oracle: &'a mut dyn Oracle) -> Self {
        Simulation {
            scenario,
            oracle,
            now: scenario.start,
            start: scenario.start,
            seed: 0,
            queue: EventQueue::default(),
            limiters: Vec::new(),
            hosts: Vec::new(),
            counter: Counter::new(&scenario.counter),
            discovery: Discovery::default(),
            clients: Clients::default(),
            network: Network::new(scenario.network),
            variation: Variation::new(0, scenario.log_deviation),
            executed_keys: ExecutedKeys::new(),
            records: Vec::new(),
            history: HistoryHash::default(),
            events: 0,
            choices: Vec::new(),
        }
    }

    fn run(&mut self) -> Result<(), Stopped> {
        self.set_up()?;
        let end = self.start + self.scenario.max_duration;
        while let Some(scheduled) = self.queue.pop() {
            if scheduled.at > end {
                self.now = end;
                break;
            }
            self.now = scheduled.at;
            self.events += 1;
            self.choices.clear();
            self.dispatch(scheduled.event)?;
            if self.is_finished() {
                break;
            }
        }
        Ok(())
    }

    fn dispatch(&mut self, event: Event) -> Result<(), Stopped> {
        match event {
            Event::Step(index) => {
                let event = self.scenario.steps[index].event.clone();
                self.apply_scenario_event(event)
            }
            Event::ClientRequest(request) => self.send_request(request),
            Event::HostsNotified {
                limiter,
                mode,
                entries,
            } => self.notify_limiter(limiter, mode, entries),
            Event::Timer { limiter, timer } => self.fire_timer(limiter, timer),
            Event::AnswerDue { limiter, request } => self.fail_unanswered(limiter, request),
            Event::AttemptArrives {
                attempt,
                host,
                outcome,
            } => {
                self.receive_attempt(attempt, host, outcome);
                Ok(())
            }
            Event::JobFinished {
                host,
                process_start,
                ..
            } => {
                self.finish_job(host, process_start);
                Ok(())
            }
            Event::AttemptEnds { attempt, outcome } => self.end_attempt(attempt, outcome),
            Event::CounterCallArrives(call) => {
                self.receive_counter_call(call);
                Ok(())
            }
            Event::CounterCallExecutes(call) => {
                self.execute_counter_call(&call);
                Ok(())
            }
            Event::CounterCallEnds {
                caller,
                number,
                outcome,
                total,
            } => self.end_counter_call(caller, number, outcome, total),
        }
    }

    /// Returns whether no limiter has work and no pending event can create any.
    fn is_finished(&self) -> bool {
        let is_relevant = |event: &Event| {
            matches!(
                event,
                Event::Step(_)
                    | Event::ClientRequest(_)
                    | Event::JobFinished { .. }
                    | Event::AttemptArrives { .. }
            )
        };
        !self.limiters.iter().any(Limiter::has_work) && !self.queue.events().any(is_relevant)
    }

    /// Chooses one of `options` options and returns its index.
    fn choose(&mut self, point: ChoicePoint, options: usize) -> Result<usize, Stopped> {
        self.choose_numbered(point, 0, options)
    }

    /// Chooses one of `options` options for the attempt or counter call with this number and returns its index.
    fn choose_numbered(
        &mut self,
        point: ChoicePoint,
        number: usize,
        options: usize,
    ) -> Result<usize, Stopped> {
        if let Some(variant) = self.scenario.variant {
            return Ok(option_of_variant(variant, point, number, options));
        }
        if options < 2 {
            return Ok(0);
        }
        let state = RunState {
            history: &self.history,
            now: self.now,
            choices: &self.choices,
            limiters: &self.limiters,
            hosts: &self.hosts,
            counter: &self.counter,
            executed_keys: &self.executed_keys,
            queue: &self.queue,
        };
        let choice = self
            .oracle
            .choose(point, options, &|| state.fingerprint())
            .ok_or(Stopped)?
            .min(options - 1);
        self.choices.push(choice);
        Ok(choice)
    }

    /// Records a fact at the current virtual time.
    fn record(&mut self, fact: Fact) {
        self.history.add(&fact);
        self.records.push(Record { at: self.now, fact });
    }

    /// Schedules an event after a delay in nanoseconds.
    fn schedule(&mut self, delay: Nanos, event: Event) {
        self.queue.schedule(self.now + delay, event);
    }

    /// Returns the current incarnation of a limiter.
    fn incarnation(&self, limiter: LimiterIndex) -> LimiterIncarnation {
        LimiterIncarnation {
            limiter,
            incarnation: self.limiters[limiter.as_usize()].incarnation,
        }
    }

    /// Returns whether this incarnation of a limiter is still running.
    fn is_current(&self, limiter: LimiterIncarnation) -> bool {
        let current = &self.limiters[limiter.limiter.as_usize()];
        current.is_up && current.incarnation == limiter.incarnation
    }
}
