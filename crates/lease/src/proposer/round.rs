//! A proposer's current round, and the lease that an earlier round acquired.

use crate::{Ballot, FencingToken, Nanos};
use std::collections::BTreeSet;

/// The index of an acceptor among all limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AcceptorIndex(pub u32);

/// How far a round has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No round is in progress.
    Idle,
    /// Prepare messages have been sent.
    Preparing {
        /// Acceptors that have promised; each counts once, however often it responds.
        promised: BTreeSet<AcceptorIndex>,
    },
    /// Propose messages have been sent.
    Proposing {
        /// When they were sent: the lease counts from then, before any acceptor's own count begins.
        started_at: Nanos,
        /// Acceptors that have accepted.
        accepted: BTreeSet<AcceptorIndex>,
    },
}

/// A lease that was acquired or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldLease {
    /// The ballot that the acceptors have accepted last.
    pub(super) ballot: Ballot,
    pub(super) token: FencingToken,
    pub(super) expires_at: Nanos,
}

/// An acceptor's rejection on behalf of another proposer, in the current round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Rejection {
    pub(super) acceptor: AcceptorIndex,
    pub(super) remaining: Nanos,
}
