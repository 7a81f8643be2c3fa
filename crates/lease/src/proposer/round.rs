//! The state of a proposer's current round, and of the lease that an earlier round acquired.

use crate::{Ballot, FencingToken, Nanos};
use std::collections::BTreeSet;

/// The index of an acceptor among all limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AcceptorIndex(pub u32);

/// The phase of a proposer's current round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No round is in progress.
    Idle,
    /// Prepare messages have been sent.
    Preparing {
        /// The acceptors that have promised; each counts once, however often it responds.
        promised: BTreeSet<AcceptorIndex>,
    },
    /// Propose messages have been sent.
    Proposing {
        /// When they were sent. The holder's validity counts from then, before it counts at any acceptor.
        started_at: Nanos,
        /// The acceptors that have accepted the proposal; each counts once.
        accepted: BTreeSet<AcceptorIndex>,
    },
}

/// A lease that was acquired or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldLease {
    /// The ballot of the latest renewal, or of the acquisition if there was none.
    pub(super) ballot: Ballot,
    /// The ballot of the acquisition.
    pub(super) token: FencingToken,
    pub(super) expires_at: Nanos,
}

/// A rejection in the current round by an acceptor that has accepted another proposer's proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Rejection {
    pub(super) acceptor: AcceptorIndex,
    /// The remaining validity of that proposal, on the acceptor's clock.
    pub(super) remaining: Nanos,
}
