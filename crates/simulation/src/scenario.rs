//! A scenario as plain data: processes, settings, and events with their times.

mod description;

use crate::oracle::ChoicePoint;
use quartzcleat_decision::api::{ClassIndex, HostState, LimiterIndex, Nanos, PlanIndex, Settings};
use quartzcleat_invariants::{HostIndex, PartnerIndex, Processes};

/// A possible outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The outcome that follows from its host's state.
    Normal,
    /// The host answers with an error after executing it.
    Error,
    /// The host rejects it.
    Rejected,
    /// The connection is refused.
    ConnectionRefused,
    /// The connection is reset after the host began to execute it.
    ResetAfterExecution,
    /// The connection is reset before the host received it.
    ResetBeforeExecution,
    /// The host executes it and its answer is lost.
    AnswerLost,
    /// It is lost on its way to the host, without a reset.
    RequestLost,
    /// It is answered well, but after its latency objective.
    Late,
}

/// A possible outcome of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CounterCallOutcome {
    /// The outcome that follows from the counter's mode.
    Normal,
    /// It is lost on its way to the counter.
    RequestLost,
    /// It is executed, and its answer is lost.
    AnswerLost,
    /// It is rejected.
    Rejected,
}

/// The behaviour of the counter towards calls. The names of the modes appear in reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CounterMode {
    /// It answers.
    #[default]
    Normal,
    /// It neither answers nor executes calls.
    Silent,
    /// A call takes this multiple of its usual time.
    Slow(f64),
    /// It rejects calls.
    Refusing,
}

/// The counter at the start of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSetup {
    /// The counter's mode until an event of the scenario changes it.
    pub mode: CounterMode,
    /// The possible outcomes of each call; one entry leaves nothing open.
    pub call_outcomes: Vec<CounterCallOutcome>,
    /// How long a call takes.
    pub call_duration: Nanos,
    /// The number of shards. Each has a queue of its own, and names are distributed over them.
    pub shards: u32,
}

impl Default for CounterSetup {
    fn default() -> Self {
        CounterSetup {
            mode: CounterMode::Normal,
            call_outcomes: vec![CounterCallOutcome::Normal],
            // The middle of what the deployment's counter needs for a call.
            call_duration: 1_200_000,
            shards: 1,
        }
    }
}

/// A host at the start of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSetup {
    /// Its state, in truth and in discovery's list.
    pub state: HostState,
    /// How long ago its process started; `None` where it has long been warm.
    pub uptime: Option<Nanos>,
    /// Requests that it executes concurrently.
    pub cores: u32,
    /// The relative speed of a core; 1 is the speed for which work is stated.
    pub speed: f64,
    /// Requests that it queues beyond those that it executes.
    pub queue_capacity: usize,
    /// Its weight in discovery's list.
    pub weight: f64,
    /// It does not run yet: [`ScenarioEvent::StartHost`] or [`ScenarioEvent::ReplaceHost`] starts it.
    pub absent: bool,
}

impl Default for HostSetup {
    fn default() -> Self {
        HostSetup {
            state: HostState::Ready,
            uptime: None,
            cores: 3,
            speed: 1.0,
            queue_capacity: 64,
            weight: 1.0,
            absent: false,
        }
    }
}

/// Mean one-way delays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkDelays {
    /// Within a zone.
    pub same_zone: Nanos,
    /// Between zones.
    pub cross_zone: Nanos,
    /// To the counter.
    pub counter: Nanos,
}

impl Default for NetworkDelays {
    fn default() -> Self {
        NetworkDelays {
            same_zone: 230_000,
            cross_zone: 600_000,
            counter: 600_000,
        }
    }
}

/// The limiters through which a partner's requests come: consecutive indices, modulo the number of limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimiterSet {
    /// How many they are.
    pub count: u32,
    /// The first of them.
    pub first: LimiterIndex,
}

impl LimiterSet {
    /// The limiter that follows another one of the set, out of so many limiters in all.
    #[must_use]
    pub fn next_after(self, limiter: LimiterIndex, limiters: usize) -> LimiterIndex {
        let first = self.first.as_usize();
        let position = (limiter.as_usize() + limiters - first) % limiters;
        let next = (first + (position + 1) % self.count as usize) % limiters;
        LimiterIndex::from_usize(next)
    }
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The operation. A further request for the same one is a retry, with the same idempotency key.
    pub operation: u64,
    /// The class.
    pub class: ClassIndex,
    /// The partner.
    pub partner: PartnerIndex,
    /// The partner's plan.
    pub plan: PlanIndex,
    /// The units that the client states.
    pub units: f64,
    /// The true units, which the first good answer states; 0 where the client's are exact.
    pub true_units: f64,
    /// The limiter through which it comes.
    pub limiter: LimiterIndex,
    /// The limiters through which the partner's requests come.
    pub limiter_set: LimiterSet,
    /// How long the client waits.
    pub timeout: Nanos,
    /// It is a retry: it waits for the answer of the operation's earlier request and comes only where that one was
    /// not served.
    pub retry: bool,
}

/// An event that a scenario applies to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioEvent {
    /// A client sends a request.
    Request(ClientRequest),
    /// A host begins to drain.
    DrainHost(HostIndex),
    /// A host's process dies: its connections are reset, new ones are refused.
    KillHost(HostIndex),
    /// A host's machine becomes unreachable: no answer, reset or notification comes from it.
    IsolateHost(HostIndex),
    /// A host's process starts and warms up.
    StartHost(HostIndex),
    /// A host's process dies and another host starts at its address.
    ReplaceHost {
        /// The host that dies.
        old: HostIndex,
        /// The host that starts.
        new: HostIndex,
    },
    /// A host's speed changes.
    SetHostSpeed {
        /// The host.
        host: HostIndex,
        /// Its new relative speed.
        speed: f64,
    },
    /// The counter changes its mode.
    SetCounterMode(CounterMode),
    /// The counter forgets all totals.
    ClearCounter,
    /// Discovery stops to notify limiters (`false`), or notifies them of its whole list and goes on (`true`).
    SetDiscovery(bool),
    /// A limiter dies.
    KillLimiter(LimiterIndex),
    /// A limiter starts again without state.
    StartLimiter(LimiterIndex),
}

/// Something that happens at one of some moments.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The possible moments, after the start of the run; one entry leaves nothing open.
    pub moments: Vec<Nanos>,
    /// The event of the step.
    pub event: ScenarioEvent,
    /// Steps of one group exchange their moments in every order.
    pub reorder_group: Option<u32>,
}

/// How clients retry by themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPolicy {
    /// The delay after the answer; a longer `retry_after` of the answer takes precedence.
    pub delay: Nanos,
    /// Whether the retry comes through the next limiter of the partner's set.
    pub next_limiter: bool,
}

/// Processes, settings and events.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The settings of each limiter; its own index, its zone and the number of limiters are filled in for it.
    pub settings: Settings,
    /// The actual behaviour of hosts, which the limiters' settings may misstate: how long hosts deduplicate, how they warm up, and
    /// when one that warms up is overloaded.
    pub ground_truth: Settings,
    /// The names and places of the processes.
    pub processes: Processes,
    /// The hosts, in the order of those in `processes`.
    pub hosts: Vec<HostSetup>,
    /// Delays of the network.
    pub network: NetworkDelays,
    /// Unix time at the start. Windows of quotas are aligned to it.
    pub start: Nanos,
    /// Possible offsets that are added to it; one entry leaves nothing open.
    pub start_offsets: Vec<Nanos>,
    /// Possible seeds of the limiters; one entry leaves nothing open.
    pub seeds: Vec<u64>,
    /// Possible delays until discovery notifies one limiter of a change; one entry leaves nothing open.
    pub discovery_delays: Vec<Nanos>,
    /// The counter.
    pub counter: CounterSetup,
    /// The possible outcomes of each attempt; one entry leaves nothing open.
    pub attempt_outcomes: Vec<AttemptOutcome>,
    /// The work of a request on a core of speed 1, by class.
    pub work: Vec<Nanos>,
    /// Variation of work and delays: the standard deviation of their logarithm; 0 for none.
    pub log_deviation: f64,
    /// The events with their possible times.
    pub steps: Vec<Step>,
    /// How clients retry by themselves; `None` where they do not.
    pub retry: Option<RetryPolicy>,
    /// The run ends this long after its start at the latest.
    pub max_duration: Nanos,
    /// The number of a variant, for which nothing is left open: [`option_of_variant`] makes every choice, in the
    /// simulation and on sockets alike.
    pub variant: Option<usize>,
}

/// The option that a variant takes at a choice. `number` is that of an attempt or a counter call, 0 elsewhere. A
/// variant has its own option for first attempts and the first option for further ones; it cycles through the
/// options of counter calls.
#[must_use]
pub fn option_of_variant(
    variant: usize,
    point: ChoicePoint,
    number: usize,
    options: usize,
) -> usize {
    match (point, number) {
        (ChoicePoint::Moment | ChoicePoint::DiscoveryDelay, _) | (ChoicePoint::Attempt, 0) => {
            variant % options.max(1)
        }
        (ChoicePoint::CounterCall, number) => (variant + number) % options.max(1),
        (
            ChoicePoint::Seed
            | ChoicePoint::StartOffset
            | ChoicePoint::Order
            | ChoicePoint::Attempt,
            _,
        ) => 0,
    }
}
