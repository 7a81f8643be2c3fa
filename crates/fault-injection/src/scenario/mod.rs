//! A scenario in YAML: the number of limiters, the timing of leases, how links behave, and which faults come when. Faults
//! that the file does not name are generated from the seed, so that scenario and seed determine the schedule.

mod read;
mod schedule;
#[cfg(test)]
mod tests;
mod write;

use quartzcleat_decision::api::LimiterIndex;
use std::time::Duration;

/// The limiters that a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// The limiter whose action was accepted last.
    LeaseHolder,
    /// One at random.
    Random,
    /// All of them.
    All,
}

/// The spelling of fault targets in YAML.
const TARGET_KEYWORDS: [(&str, FaultTarget); 3] = [
    ("holder", FaultTarget::LeaseHolder),
    ("any", FaultTarget::Random),
    ("all", FaultTarget::All),
];

impl FaultTarget {
    fn keyword(self) -> &'static str {
        keyword_of(&TARGET_KEYWORDS, self)
    }
}

/// A fault of a limiter or of its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGSTOP, then SIGCONT.
    Pause,
    /// SIGKILL, then a start without any state.
    Kill,
    /// SIGTERM, then a start.
    Terminate,
    /// All datagrams from and to the limiter are dropped.
    Isolate,
    /// Datagrams from the limiter are dropped.
    DropOutbound,
    /// Datagrams to the limiter are dropped.
    DropInbound,
    /// A minority of the limiters, with this one among them, is separated from the others. All reach the target.
    Partition,
    /// Actions of the limiter wait on their way to the target; votes pass.
    DelayActions,
    /// Actions of the limiter reach the target; the answers wait.
    DelayAnswers,
    /// The limiter's connections to the target are reset repeatedly.
    ResetConnections,
}

/// The spelling of faults in YAML and in histories. Random faults are chosen by their position here.
const KIND_KEYWORDS: [(&str, FaultKind); 10] = [
    ("pause", FaultKind::Pause),
    ("kill", FaultKind::Kill),
    ("end", FaultKind::Terminate),
    ("cut", FaultKind::Isolate),
    ("mute", FaultKind::DropOutbound),
    ("deaf", FaultKind::DropInbound),
    ("split", FaultKind::Partition),
    ("astray", FaultKind::DelayActions),
    ("unanswered", FaultKind::DelayAnswers),
    ("reset", FaultKind::ResetConnections),
];

/// So many kinds, the first ones, cost a holder its lease; the others concern only its actions.
const KINDS_THAT_COST_THE_LEASE: usize = 7;

impl FaultKind {
    /// The kind's spelling in scenarios and in histories.
    #[must_use]
    pub fn keyword(self) -> &'static str {
        keyword_of(&KIND_KEYWORDS, self)
    }
}

fn keyword_of<T: Copy + PartialEq>(keywords: &[(&'static str, T)], value: T) -> &'static str {
    keywords
        .iter()
        .find(|(_, known)| *known == value)
        .map_or("", |(keyword, _)| keyword)
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The start, from the moment at which all limiters run.
    pub at: Duration,
    /// The limiters that it strikes.
    pub target: FaultTarget,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// How long it lasts.
    pub duration: Duration,
}

/// How links behave during the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// The share that is delivered twice.
    pub duplication: f64,
    /// The longest delay. Each datagram has a random one, so that datagrams overtake one another.
    pub max_delay: Duration,
}

/// How far the clocks of limiters may be wrong. Each process has random errors, anew at every start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClockFaults {
    /// The largest relative difference between the rates of two monotonic clocks.
    pub rate_spread: f64,
    /// The largest offset of a wall clock, ahead or behind.
    pub max_wall_offset: Duration,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The number of limiters.
    pub limiters: usize,
    /// How many of them vote.
    pub voters: usize,
    /// The length of a lease.
    pub lease_length: Duration,
    /// How often the holder acts.
    pub action_interval: Duration,
    /// How long an action may take.
    pub max_action_time: Duration,
    /// The clock drift that the limiters are configured for.
    pub configured_drift: f64,
    /// The actual errors of clocks.
    pub clocks: ClockFaults,
    /// The links.
    pub links: LinkFaults,
    /// Faults that the file names.
    pub faults: Vec<Fault>,
    /// How many more are generated from the seed.
    pub random_faults: usize,
    /// The length of the run.
    pub duration: Duration,
    /// The changes of lease holder without which a run is empty.
    pub changes: usize,
}

impl Scenario {
    /// All limiters.
    pub(crate) fn limiter_indices(&self) -> impl Iterator<Item = LimiterIndex> + use<> {
        (0..self.limiters).map(LimiterIndex::from_usize)
    }

    /// The limiters that vote: the first ones.
    pub(crate) fn voter_indices(&self) -> impl Iterator<Item = LimiterIndex> + use<> {
        (0..self.voters).map(LimiterIndex::from_usize)
    }

    /// Whether a limiter votes.
    pub(crate) fn is_voter(&self, limiter: LimiterIndex) -> bool {
        limiter.as_usize() < self.voters
    }
}
