//! A scenario in YAML: the number of limiters, the timing of leases, the behaviour of links, and the faults with their
//! times. Faults that the file does not name are generated from the seed, so that the scenario and the seed determine
//! the schedule.

mod read;
mod schedule;
#[cfg(test)]
mod tests;
mod write;

use quartzcleat_decision::api::LimiterIndex;
use std::time::Duration;

/// The limiters that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// The limiter whose action was accepted last.
    LeaseHolder,
    /// One limiter, chosen at random.
    Random,
    /// All limiters.
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
    /// SIGKILL, then a restart without any state.
    Kill,
    /// SIGTERM, then a restart.
    Terminate,
    /// All datagrams to and from the limiter are dropped.
    Isolate,
    /// Datagrams from the limiter are dropped.
    DropOutbound,
    /// Datagrams to the limiter are dropped.
    DropInbound,
    /// A minority of the limiters, which includes this one, is separated from the others. All limiters reach the
    /// target.
    Partition,
    /// Actions of the limiter are held back on their way to the target; its votes are not.
    DelayActions,
    /// Actions of the limiter reach the target, but the answers are held back.
    DelayAnswers,
    /// The limiter's connections to the target are reset repeatedly.
    ResetConnections,
}

/// The spelling of faults in YAML and in histories. Random faults are chosen by their positions in this list, so a
/// change of order changes the schedules of seeds.
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

/// The number of kinds, at the start of [`KIND_KEYWORDS`], that make a holder lose its lease. The others affect only
/// its actions.
const LEASE_LOSS_KINDS: usize = 7;

impl FaultKind {
    /// Returns the kind's spelling in scenarios and in histories.
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

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The start of the fault, as the time since all limiters were started.
    pub at: Duration,
    /// The limiters that it affects.
    pub target: FaultTarget,
    /// What happens to these limiters or their links.
    pub kind: FaultKind,
    /// How long the fault lasts.
    pub duration: Duration,
}

/// The faults that all links have during the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// The share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// The share of datagrams that are delivered twice, from 0 to 1.
    pub duplication: f64,
    /// The maximum delay. Each datagram gets a random delay up to it, so that datagrams overtake one another.
    pub max_delay: Duration,
}

/// The limits of the limiters' clock errors. Each process gets new random errors within them at every start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClockFaults {
    /// The maximum relative difference between the rates of two monotonic clocks, as a share.
    pub rate_spread: f64,
    /// The maximum offset of a wall clock, ahead or behind.
    pub max_wall_offset: Duration,
}

/// A scenario of fault injection.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The number of limiters.
    pub limiters: usize,
    /// The number of acceptors among them, which is odd.
    pub acceptors: usize,
    /// The duration of a lease.
    pub lease_length: Duration,
    /// The interval between the holder's actions.
    pub action_interval: Duration,
    /// The maximum duration of an action.
    pub max_action_time: Duration,
    /// The clock drift that the limiters are configured to tolerate, as a share.
    pub configured_drift: f64,
    /// The actual clock errors.
    pub clocks: ClockFaults,
    /// The faults of the links between limiters.
    pub links: LinkFaults,
    /// Faults that the file names.
    pub faults: Vec<Fault>,
    /// The number of further faults, which are generated from the seed.
    pub random_faults: usize,
    /// The duration of the run.
    pub duration: Duration,
    /// The minimum number of changes of lease holder; a run with fewer is empty.
    pub required_changes: usize,
}

impl Scenario {
    /// Returns the indices of all limiters.
    pub(crate) fn limiter_indices(&self) -> impl Iterator<Item = LimiterIndex> + use<> {
        (0..self.limiters).map(LimiterIndex::from_usize)
    }

    /// Returns the indices of the acceptors, which are the first limiters.
    pub(crate) fn acceptor_indices(&self) -> impl Iterator<Item = LimiterIndex> + use<> {
        (0..self.acceptors).map(LimiterIndex::from_usize)
    }

    /// Returns whether a limiter is an acceptor.
    pub(crate) fn is_acceptor(&self, limiter: LimiterIndex) -> bool {
        limiter.as_usize() < self.acceptors
    }
}
