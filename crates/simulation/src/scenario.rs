//! A scenario: who plays, what is given, and what happens when. Plain data.

use crate::oracle::Point;
use quartzcleat_decision::api::{HostState, Nanos, Settings};
use quartzcleat_invariants::{process::Index, Processes};

/// How an attempt fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    /// As its host does at that moment.
    Normal,
    /// The host answers with an error after running it.
    Error,
    /// The host turns it away.
    Busy,
    /// No connection comes about.
    Refused,
    /// The connection breaks after the host began to run it.
    ResetRan,
    /// The connection breaks before the host saw it.
    ResetLost,
    /// The host runs it and its answer never comes.
    SilentRan,
    /// It never reaches the host, and nothing tells so.
    SilentLost,
    /// It is answered well, but past its aim.
    Late,
}

/// How a call to the counter fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallFate {
    /// As the counter does at that moment.
    Normal,
    /// It never reaches the counter.
    Lost,
    /// It is added, and the answer never comes.
    AnswerLost,
    /// It is turned away.
    Refused,
}

/// What the counter does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CounterMode {
    /// It answers.
    #[default]
    Normal,
    /// It answers nothing and adds nothing.
    Silent,
    /// It takes this multiple of its time for a call.
    Slow(f64),
    /// It turns calls away.
    Refusing,
}

/// The counter.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSetup {
    /// What it does at first.
    pub mode: CounterMode,
    /// How each call may fare; one entry leaves nothing open.
    pub fates: Vec<CallFate>,
    /// How long it takes for a call.
    pub service: Nanos,
    /// Parts, each with a line of its own, that names are split over.
    pub parts: u32,
}

impl Default for CounterSetup {
    fn default() -> Self {
        // The middle of what the deployment's counter needs for a call.
        CounterSetup {
            mode: CounterMode::Normal,
            fates: vec![CallFate::Normal],
            service: 1_200_000,
            parts: 1,
        }
    }
}

/// A host at the beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSetup {
    /// Its state, as discovery has it and as it is.
    pub state: HostState,
    /// How long ago its process started; `None` for long ago.
    pub age: Option<Nanos>,
    /// Requests that it works on at once.
    pub cores: u32,
    /// How fast each of them goes; 1 is the yardstick.
    pub speed: f64,
    /// Requests that wait there beyond these.
    pub slots: usize,
    /// Its size beside others, as discovery tells it.
    pub weight: f64,
    /// It is not there yet: it enters with [`Happening::Start`] or [`Happening::Replace`].
    pub absent: bool,
}

impl Default for NodeSetup {
    fn default() -> Self {
        let (state, age, cores, speed, slots, weight, absent) =
            (HostState::Ready, None, 3, 1.0, 64, 1.0, false);
        NodeSetup {
            state,
            age,
            cores,
            speed,
            slots,
            weight,
            absent,
        }
    }
}

/// Delays, one way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Net {
    /// Within a room.
    pub same: Nanos,
    /// Between rooms.
    pub cross: Nanos,
    /// To the counter.
    pub counter: Nanos,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            same: 230_000,
            cross: 600_000,
            counter: 600_000,
        }
    }
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// What tells it from others: a further request of the same mark is a retry of the same errand.
    pub mark: u64,
    /// The class.
    pub class: Index,
    /// The partner.
    pub partner: Index,
    /// The partner's plan.
    pub plan: u32,
    /// The units.
    pub units: f64,
    /// The true units, which the first good answer tells; 0: the units are no guess.
    pub cost: f64,
    /// The limiter it comes through.
    pub through: Index,
    /// Over how many limiters the partner's requests come, and the first of them.
    pub spread: (u32, u32),
    /// How long the client waits.
    pub wait: Nanos,
    /// It is a retry: it comes only where no earlier try of its mark was served, once that one has its answer.
    pub retry: bool,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// A client asks.
    Ask(Ask),
    /// A host drains.
    Drain(Index),
    /// A host's process dies: connections break, new ones are refused.
    Die(Index),
    /// A host's machine vanishes: nothing comes back, and nothing says so.
    Vanish(Index),
    /// A host's process starts, cold.
    Start(Index),
    /// A host dies and another starts at its address.
    Replace(Index, Index),
    /// A host's speed changes to this.
    Speed(Index, f64),
    /// The counter goes over to a mode.
    Counter(CounterMode),
    /// The counter forgets all totals.
    Empty,
    /// Discovery falls silent, or tells again what it has.
    Discovery(bool),
    /// A limiter dies.
    LimiterDies(Index),
    /// A limiter starts again from nothing.
    LimiterStarts(Index),
}

/// Something that happens, at one of some moments.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The moments it may happen at, after the beginning; one entry leaves nothing open.
    pub at: Vec<Nanos>,
    /// What happens.
    pub what: Happening,
    /// Steps of one number take each other's moments in every order.
    pub free: Option<u32>,
}

/// How clients retry by themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Retry {
    /// How long after its answer, at least; a time told in the answer goes before it where it is longer.
    pub after: Nanos,
    /// Whether the retry comes through the next limiter of the partner's set.
    pub elsewhere: bool,
}

/// Who plays, what is given and what happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What each limiter is told; `me`, `zone` and `limiter_count` are filled in for it.
    pub settings: Settings,
    /// What is so, whatever the limiters are told: how long hosts drop repeats, how cold ones warm and tip.
    pub truth: Settings,
    /// The names, and who is in which room.
    pub processes: Processes,
    /// The hosts, in the order of the cast's.
    pub nodes: Vec<NodeSetup>,
    /// Delays.
    pub net: Net,
    /// Unix time of the beginning. Windows of quotas are cut by it.
    pub start: Nanos,
    /// What may be added to it; one entry leaves nothing open.
    pub phases: Vec<Nanos>,
    /// Seeds of the limiters; one entry leaves nothing open.
    pub seeds: Vec<u64>,
    /// How long discovery may take to tell a change to one limiter; one entry leaves nothing open.
    pub lags: Vec<Nanos>,
    /// The counter.
    pub counter: CounterSetup,
    /// How each attempt may fare; one entry leaves nothing open.
    pub fates: Vec<Fate>,
    /// A request's work at the yardstick, by class.
    pub work: Vec<Nanos>,
    /// Spread of work and delays: the standard deviation of their logarithm; 0 for none.
    pub spread: f64,
    /// What happens.
    pub steps: Vec<Step>,
    /// How clients retry by themselves, where they do.
    pub retry: Option<Retry>,
    /// The play ends so long after its beginning at the latest.
    pub end: Nanos,
    /// Where this is told nothing is open: the variant of this number is played, the same in the world and on
    /// sockets, by [`option`].
    pub variant: Option<usize>,
}

/// The option that a variant takes. `number` is an attempt's or a call's own, 0 elsewhere: a variant has its own
/// option for first attempts and the first one for further ones, and goes through those of calls in turn.
pub fn option(variant: usize, point: Point, number: usize, options: usize) -> usize {
    match (point, number) {
        (Point::Moment | Point::Lag, _) | (Point::Attempt, 0) => variant % options.max(1),
        (Point::Call, number) => (variant + number) % options.max(1),
        (Point::Seed | Point::Phase | Point::Order | Point::Attempt, _) => 0,
    }
}
