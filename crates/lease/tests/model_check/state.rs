//! The model's state and events.

use quartzcleat_lease::*;
use std::collections::BTreeSet;

/// The nominal length of a tick of the model's time, in nanoseconds.
pub(crate) const TICK: Nanos = 1_000;
/// The time on every clock at tick 0, in nanoseconds.
pub(crate) const CLOCK_ORIGIN: Nanos = 100_000;

/// A fault in the implementation or in the assumptions of the protocol, whose effect the search must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    NoRestartSilence,
    NoDriftBound,
    SmallQuorum,
    TokenUnchecked,
    OperationWithoutGuard,
    HolderValidityTooLong,
    AcceptedProposalNotStored,
    PromiseIgnored,
    ClockSetBack,
    OperationsAfterRelease,
}

/// The rate of each clock, as the number of eighths by which it runs fast; negative for a slow clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClockRates {
    pub proposers: Vec<i64>,
    pub acceptors: Vec<i64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ModelState {
    /// The time in ticks.
    pub time: u64,
    pub rates: ClockRates,
    /// How far the first proposer's clock was set back, in nanoseconds.
    pub set_back: u64,
    pub acceptors: Vec<Acceptor>,
    pub proposers: Vec<Proposer>,
    /// All requests that were ever sent; each may be delivered any number of times.
    pub requests: BTreeSet<Message>,
    /// The tokens of operations that were started; each may arrive at the target any number of times.
    pub operations_in_flight: BTreeSet<FencingToken>,
    pub target: HighestToken,
    pub last_admitted: FencingToken,
    pub restarts: u32,
    pub operations: u32,
    pub rounds: u32,
    /// Whether one proposer acquired the lease, or started an operation, while the other held the lease.
    pub two_holders: bool,
    /// Whether the target admitted a token lower than the last admitted one.
    pub stale_token_admitted: bool,
    /// Whether a proposer acquired the lease after the target had last admitted an operation of the other one.
    pub takeover: bool,
}

impl ModelState {
    /// Returns whether an invariant is violated.
    pub(crate) fn is_violated(&self) -> bool {
        self.two_holders || self.stale_token_admitted
    }

    /// Returns the time on a proposer's clock.
    pub(crate) fn proposer_clock(&self, proposer: usize) -> Nanos {
        let set_back = if proposer == 0 { self.set_back } else { 0 };
        clock(self.time, self.rates.proposers[proposer]) - set_back
    }

    /// Returns the time on an acceptor's clock.
    pub(crate) fn acceptor_clock(&self, acceptor: usize) -> Nanos {
        clock(self.time, self.rates.acceptors[acceptor])
    }

    /// Returns the guard of a proposer that holds the lease on its own clock, or `None`.
    pub(crate) fn guard(&self, proposer: usize) -> Option<Guard> {
        self.proposers[proposer].guard(self.proposer_clock(proposer))
    }
}

fn clock(time: u64, rate: i64) -> Nanos {
    CLOCK_ORIGIN + (time * TICK).saturating_add_signed(time as i64 * TICK as i64 / 8 * rate)
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    AdvanceTime,
    BeginRound {
        proposer: usize,
    },
    DeliverRequest {
        acceptor: usize,
        request: Message,
        response_arrives: bool,
    },
    StartOperation {
        proposer: usize,
    },
    /// An operation arrives at the target: possibly late, as its process may have been paused, and possibly repeatedly.
    OperationArrives {
        token: FencingToken,
    },
    RestartAcceptor {
        acceptor: usize,
    },
    RestartProposer {
        proposer: usize,
    },
    Release {
        proposer: usize,
    },
    SetClockBack,
}

impl Event {
    pub(crate) fn is_restart_or_release(&self) -> bool {
        matches!(
            self,
            Event::RestartAcceptor { .. } | Event::RestartProposer { .. } | Event::Release { .. }
        )
    }

    /// Returns whether the event delivers the wanted request and its response.
    pub(crate) fn delivers_with_response(&self, wanted: Option<&Message>) -> bool {
        matches!(
            self,
            Event::DeliverRequest { request, response_arrives: true, .. } if Some(request) == wanted
        )
    }
}
