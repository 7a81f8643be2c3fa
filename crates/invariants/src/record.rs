//! The records of a play: facts with their times, as an observer outside the limiters sees them.

use quartzcleat_decision::api::{HostState, Nanos, Outcome, RequestId};

/// A limiter, host, partner or class by its number in the [`Cast`].
pub type Index = usize;

/// One who plays, and where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Player {
    /// Its name.
    pub name: String,
    /// The number of its room.
    pub room: u32,
    /// A host's cell.
    pub cell: u32,
}

/// The names behind the numbers in records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cast {
    /// The rooms.
    pub rooms: Vec<String>,
    /// The limiters.
    pub limiters: Vec<Player>,
    /// The hosts.
    pub hosts: Vec<Player>,
    /// The partners.
    pub partners: Vec<String>,
    /// The classes.
    pub classes: Vec<String>,
}

impl Cast {
    /// A limiter's name.
    pub fn limiter(&self, index: Index) -> &str {
        self.limiters
            .get(index)
            .map_or("a limiter", |player| &player.name)
    }

    /// A host's name.
    pub fn host(&self, index: Index) -> &str {
        self.hosts
            .get(index)
            .map_or("a node", |player| &player.name)
    }
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answered {
    /// With the value that a host made for it.
    Served,
    /// With the back-off answer, and when to come again; zero: not told.
    Refused(Nanos),
    /// With a failure.
    Failed,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A request's last byte has reached a limiter, which has taken it.
    Asked {
        /// The request: one try of a client.
        request: RequestId,
        /// The limiter.
        limiter: Index,
        /// What the client wants done: its tries share it, and in a keyed class it is the key.
        errand: u64,
        /// The class.
        class: Index,
        /// The partner.
        partner: Index,
        /// The units it takes.
        units: f64,
        /// When the client gives up.
        deadline: Nanos,
    },
    /// A limiter was told of a host.
    Told {
        /// The limiter.
        limiter: Index,
        /// The host.
        host: Index,
        /// Its state from now on.
        state: HostState,
    },
    /// An attempt left a limiter for a host.
    Sent {
        /// The limiter.
        limiter: Index,
        /// The request.
        request: RequestId,
        /// The attempt's number, from zero.
        attempt: u32,
        /// The host.
        host: Index,
        /// Whether the host was cold at that moment.
        cold: bool,
    },
    /// A host ran a request, or dropped it as a repeat.
    Ran {
        /// The host.
        host: Index,
        /// The request.
        request: RequestId,
        /// It was dropped: an earlier run stands for it.
        dropped: bool,
    },
    /// An attempt is no longer out; what the limiter could know of its end.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// A good answer told a request's true units.
    Settled {
        /// The request.
        request: RequestId,
        /// The units.
        units: f64,
    },
    /// A client got its answer.
    Answered {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answered,
    },
    /// A client went away; it is owed nothing.
    Left {
        /// The request.
        request: RequestId,
    },
    /// A host's process is new, and cold.
    Started {
        /// The host.
        host: Index,
    },
    /// A cold host was sent more than it could do, and fell over.
    Tipped {
        /// The host.
        host: Index,
    },
    /// A limiter died: it owes no answers.
    Died {
        /// The limiter.
        limiter: Index,
    },
    /// Something of the surroundings, for readers only.
    Noted(String),
}

/// A fact and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When, in nanoseconds of the play's clock.
    pub at: Nanos,
    /// What.
    pub what: What,
}
