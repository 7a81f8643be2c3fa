//! The model's state and events.

use quartzcleat_lease::*;
use std::collections::BTreeSet;

/// A fault in the protocol's implementation or assumptions that the search has to find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedFault {
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
pub struct ClockRates {
    pub proposers: Vec<i64>,
    pub acceptors: Vec<i64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
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
    pub fn is_violated(&self) -> bool {
        self.two_holders || self.stale_token_admitted
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
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
    pub fn is_restart_or_release(&self) -> bool {
        matches!(
            self,
            Event::RestartAcceptor { .. } | Event::RestartProposer { .. } | Event::Release { .. }
        )
    }

    /// Whether the event delivers this request and its response.
    pub fn delivers_with_response(&self, wanted: Option<&Message>) -> bool {
        matches!(
            self,
            Event::DeliverRequest { request, response_arrives: true, .. } if Some(request) == wanted
        )
    }
}
