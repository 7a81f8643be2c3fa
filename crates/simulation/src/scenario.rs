//! Scenarios as plain data: processes, settings, and events with their times.

mod description;

use crate::oracle::ChoicePoint;
use quartzcleat_decision::api::{ClassIndex, HostState, LimiterIndex, Nanos, PlanIndex, Settings};
use quartzcleat_invariants::{HostIndex, PartnerIndex, Processes};

/// A possible outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The outcome that follows from the state of the host.
    Normal,
    /// The host executes the request and answers with an error.
    Error,
    /// The host rejects the attempt.
    Rejected,
    /// The connection is refused.
    ConnectionRefused,
    /// The connection is reset after the host began to execute the request.
    ResetAfterExecution,
    /// The connection is reset before the host received the request.
    ResetBeforeExecution,
    /// The host executes the request, but its answer is lost.
    AnswerLost,
    /// The request is lost on its way to the host, without a reset.
    RequestLost,
    /// The host answers successfully, but after the latency objective.
    Late,
}

/// A possible outcome of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CounterCallOutcome {
    /// The outcome that follows from the mode of the counter.
    Normal,
    /// The call is lost on its way to the counter.
    RequestLost,
    /// The counter executes the call, but its answer is lost.
    AnswerLost,
    /// The counter rejects the call.
    Rejected,
}

/// How the counter handles calls. The variant names appear in reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CounterMode {
    /// The counter executes and answers calls.
    #[default]
    Normal,
    /// The counter neither executes nor answers calls.
    Silent,
    /// The execution of a call takes this multiple of its usual duration.
    Slow(f64),
    /// The counter rejects calls.
    Refusing,
}

/// The configuration of the counter at the start of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSetup {
    /// The mode until an event of the scenario changes it.
    pub mode: CounterMode,
    /// The possible outcomes of each call; a single entry fixes the outcome.
    pub call_outcomes: Vec<CounterCallOutcome>,
    /// Execution time of a call, in nanoseconds.
    pub call_duration: Nanos,
    /// Number of shards. Names are distributed over the shards by hash, and each shard has its own queue.
    pub shards: u32,
}

impl Default for CounterSetup {
    fn default() -> Self {
        CounterSetup {
            mode: CounterMode::Normal,
            call_outcomes: vec![CounterCallOutcome::Normal],
            // 1.2 ms, the middle of the range of call durations of the deployment's counter.
            call_duration: 1_200_000,
            shards: 1,
        }
    }
}

/// The configuration of a host at the start of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSetup {
    /// The state, both actual and in discovery's list.
    pub state: HostState,
    /// Time since its process started, in nanoseconds; `None` if it warmed up long ago.
    pub uptime: Option<Nanos>,
    /// Number of requests that the host executes concurrently.
    pub cores: u32,
    /// Relative speed of a core; work is stated for speed 1.
    pub speed: f64,
    /// Number of requests that can wait in addition to those being executed.
    pub queue_capacity: usize,
    /// Relative weight in discovery's list.
    pub weight: f64,
    /// Whether the host is not running yet; [`ScenarioEvent::StartHost`] or [`ScenarioEvent::ReplaceHost`] starts it.
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

/// Mean one-way network delays, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkDelays {
    /// Between processes in the same zone.
    pub same_zone: Nanos,
    /// Between processes in different zones.
    pub cross_zone: Nanos,
    /// Between a limiter and the counter.
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

/// The limiters that receive a partner's requests: consecutive indices, modulo the number of limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimiterSet {
    /// Number of limiters in the set.
    pub count: u32,
    /// The first limiter of the set.
    pub first: LimiterIndex,
}

impl LimiterSet {
    /// Returns the limiter of the set that follows `limiter`; `limiters` is the number of all limiters.
    #[must_use]
    pub fn next_after(self, limiter: LimiterIndex, limiters: usize) -> LimiterIndex {
        let first = self.first.as_usize();
        let position = (limiter.as_usize() + limiters - first) % limiters;
        let next = (first + (position + 1) % self.count as usize) % limiters;
        LimiterIndex::from_usize(next)
    }
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The operation requested. Another request for the same operation is a retry with the same idempotency key.
    pub operation: u64,
    /// The request class.
    pub class: ClassIndex,
    /// The partner whose quota is charged.
    pub partner: PartnerIndex,
    /// The plan of the partner.
    pub plan: PlanIndex,
    /// Units that the client states.
    pub units: f64,
    /// Actual units, which the first successful answer states; 0 if the client's figure is exact.
    pub true_units: f64,
    /// The limiter that receives the request.
    pub limiter: LimiterIndex,
    /// The limiters that receive the partner's requests.
    pub limiter_set: LimiterSet,
    /// How long the client waits for the answer, in nanoseconds.
    pub timeout: Nanos,
    /// Whether this is a retry: the client sends it after the operation's earlier request has ended, and only if that
    /// request was not served.
    pub retry: bool,
}

/// An event that a scenario applies to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioEvent {
    /// A client sends a request.
    Request(ClientRequest),
    /// A host begins to drain.
    DrainHost(HostIndex),
    /// A host's process dies: its connections are reset, and new ones are refused.
    KillHost(HostIndex),
    /// A host's machine becomes unreachable: it sends no answer, reset or notification.
    IsolateHost(HostIndex),
    /// A host's process starts and begins to warm up.
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
        /// The host whose speed changes.
        host: HostIndex,
        /// The new relative speed of its cores.
        speed: f64,
    },
    /// The counter switches to another mode.
    SetCounterMode(CounterMode),
    /// The counter loses all totals.
    ClearCounter,
    /// Discovery stops notifying limiters (`false`), or sends its whole list and resumes notifications (`true`).
    SetDiscovery(bool),
    /// A limiter's process dies.
    KillLimiter(LimiterIndex),
    /// A limiter restarts without its former state.
    StartLimiter(LimiterIndex),
}

/// An event of the scenario and the possible times at which it happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The possible times, in nanoseconds after the start of the run; a single entry fixes the time.
    pub moments: Vec<Nanos>,
    /// The event that is applied.
    pub event: ScenarioEvent,
    /// Group of steps whose times may be permuted among them; `None` if the step keeps its own time.
    pub reorder_group: Option<u32>,
}

/// How clients retry on their own, without a step of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Delay after the answer, in nanoseconds; a longer `retry_after` in the answer takes precedence.
    pub delay: Nanos,
    /// Whether the retry goes to the next limiter of the partner's set instead of the same one.
    pub next_limiter: bool,
}

/// The processes, settings and events of a run, with the options among which an oracle chooses.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The settings of all limiters. The simulation fills in each limiter's own index and zone and the number of
    /// limiters.
    pub settings: Settings,
    /// The actual behaviour of hosts, which the limiters' settings may misstate: how long they deduplicate, how they
    /// warm up, and how much work overloads them while warming up.
    pub ground_truth: Settings,
    /// The names and locations of the processes.
    pub processes: Processes,
    /// The hosts, by [`HostIndex`], in the order of `processes.hosts`.
    pub hosts: Vec<HostSetup>,
    /// Mean delays of the network.
    pub network: NetworkDelays,
    /// Unix time at the start of the run, in nanoseconds. Quota windows are aligned to Unix time.
    pub start: Nanos,
    /// Possible offsets added to `start`, in nanoseconds; a single entry fixes the offset.
    pub start_offsets: Vec<Nanos>,
    /// Possible seeds of the limiters and the environment; a single entry fixes the seed.
    pub seeds: Vec<u64>,
    /// Possible delays until a limiter is notified of a change, in nanoseconds; a single entry fixes the delay.
    pub discovery_delays: Vec<Nanos>,
    /// The configuration of the counter.
    pub counter: CounterSetup,
    /// The possible outcomes of each attempt; a single entry fixes the outcome.
    pub attempt_outcomes: Vec<AttemptOutcome>,
    /// Mean execution time of a request on a core of speed 1, in nanoseconds, by [`ClassIndex`].
    pub work: Vec<Nanos>,
    /// Standard deviation of the logarithm of work and delays; 0 for no variation.
    pub log_deviation: f64,
    /// The events with their possible times.
    pub steps: Vec<Step>,
    /// How clients retry on their own; `None` if they do not.
    pub retry: Option<RetryPolicy>,
    /// Maximum duration of the run, in nanoseconds.
    pub max_duration: Nanos,
    /// The variant for which [`option_of_variant`] makes every choice, in the simulation and on sockets alike; `None`
    /// if the oracle chooses.
    pub variant: Option<usize>,
}

/// Returns the option that a variant takes at a choice point. `number` is that of the attempt or counter call, 0 at
/// other points. A variant has its own option for times, discovery delays and first attempts, cycles through the
/// options of counter calls, and takes the first option everywhere else.
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
