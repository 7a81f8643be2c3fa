//! What a proposer keeps of its current round and of the lease that an earlier round acquired.

use crate::{Ballot, FencingToken, Nanos};

/// How far a round has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No round is in progress.
    Idle,
    /// Prepare messages have been sent.
    Preparing {
        /// Acceptors that have promised, in ascending order.
        promised: Vec<u32>,
    },
    /// Propose messages have been sent.
    Proposing {
        /// When they were sent: the lease counts from then, before any acceptor's own count begins.
        started_at: Nanos,
        /// Acceptors that have accepted, in ascending order.
        accepted: Vec<u32>,
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
    pub(super) acceptor: u32,
    pub(super) remaining: Nanos,
}

/// Inserts an acceptor into a sorted list unless it is there: each counts once, however often it responds.
pub(super) fn insert_once(acceptors: &mut Vec<u32>, acceptor: u32) {
    if let Err(index) = acceptors.binary_search(&acceptor) {
        acceptors.insert(index, acceptor);
    }
}
