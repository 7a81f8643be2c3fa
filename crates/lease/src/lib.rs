//! Leases for fleet-wide tasks: one limiter at a time acts for all. Votes are asked of a fixed odd set of limiters and
//! held in memory only (PaxosLease); each act carries a token that only grows, which its target checks; and a guard
//! refuses to start what may outlive the lease. Decided without sockets, files or a clock: `now` is the monotonic
//! clock of the process in nanoseconds, handed in with each event. The reasons stand in `docs/design-leases.md`.

mod bidder;
mod envelope;
mod guard;
mod message;
mod target;
mod turns;
mod voter;

pub use bidder::{Bidder, Phase};
pub use envelope::{open, seal, Dropped, Key, VERSION};
pub use guard::{Act, Guard};
pub use message::{Ballot, Body, Fault, Message, Token, MOST_BYTES};
pub use target::{Highest, NotNow, OneAtATime, Outdated};
pub use turns::turn;
pub use voter::Voter;

/// Time in nanoseconds on the monotonic clock of one process. Two processes' times are never compared.
pub type Nanos = u64;

/// How long leases last and how far clocks may be wrong; the same at every limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a voter stands by its vote, by its own clock.
    pub length: Nanos,
    /// By how many thousandths two clocks may run apart.
    pub drift: u64,
}

impl Terms {
    /// How long a holder may act, by its own clock, from before it asked for the votes: the length, less what the two
    /// clocks may run apart in it.
    pub fn held(&self) -> Nanos {
        self.length.saturating_sub(self.length / 1_000 * self.drift)
    }

    /// How long a voter that has just started and remembers nothing gives no vote: the vote it may have given in the
    /// moment before it ended must be over, by a clock that may have run slower.
    pub fn quiet(&self) -> Nanos {
        self.length.saturating_add(self.length / 1_000 * self.drift)
    }
}
