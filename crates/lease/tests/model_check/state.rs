//! The model's state and events.

use quartzcleat_lease::*;
use std::collections::BTreeSet;

pub(crate) const TICK: Nanos = 1_000;
pub(crate) const CLOCK_ORIGIN: Nanos = 100_000;

/// A fault in the protocol's implementation or assumptions that the search has to find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    NoRestartSilence,
    NoDriftBound,
    SmallQuorum,
    TokenUnchecked,
    OperationWithoutGuard,
    HolderValidityTooLong,
    AcceptanceForgotten,
    PromiseForgotten,
    ClockSetBack,
    OperationsAfterRelease,
}

/// By how many eighths each clock runs fast.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClockRates {
    pub proposers: Vec<i64>,
    pub acceptors: Vec<i64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ModelState {
    pub time: u64,
    pub rates: ClockRates,
    /// How far the first proposer's clock was set back.
    pub set_back: u64,
    pub acceptors: Vec<Acceptor>,
    pub proposers: Vec<Proposer>,
    /// All requests ever sent.
    pub requests: BTreeSet<Message>,
    /// Tokens of operations on their way to the target.
    pub operations_in_flight: BTreeSet<FencingToken>,
    pub target: HighestToken,
    pub last_admitted: FencingToken,
    pub restarts: u32,
    pub operations: u32,
    pub rounds: u32,
    pub two_holders: bool,
    pub stale_token_admitted: bool,
    /// Another limiter took the lease after an operation of the first holder.
    pub takeover: bool,
}

impl ModelState {
    /// Whether an invariant is violated.
    pub(crate) fn is_violated(&self) -> bool {
        self.two_holders || self.stale_token_admitted
    }

    /// The time by the clock of a proposer.
    pub(crate) fn proposer_clock(&self, proposer: usize) -> Nanos {
        let set_back = if proposer == 0 { self.set_back } else { 0 };
        clock(self.time, self.rates.proposers[proposer]) - set_back
    }

    /// The time by the clock of an acceptor.
    pub(crate) fn acceptor_clock(&self, acceptor: usize) -> Nanos {
        clock(self.time, self.rates.acceptors[acceptor])
    }

    /// The lease that a proposer holds by its clock.
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
    /// The operation may have been on its way for as long as its process was paused, and may arrive twice.
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

    /// Whether the event delivers this request and its response.
    pub(crate) fn delivers_with_response(&self, wanted: Option<&Message>) -> bool {
        matches!(
            self,
            Event::DeliverRequest { request, response_arrives: true, .. } if Some(request) == wanted
        )
    }
}
