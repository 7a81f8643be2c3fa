//! The acceptor, which keeps the promised ballot and the accepted proposal of each task in memory only.
//!
//! An acceptor knows neither who holds a lease nor the targets of the holders' operations.

use crate::{Ballot, Body, LeaseTiming, Message, Nanos};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The maximum number of tasks that an acceptor stores. Messages about further tasks are ignored, so that messages with
/// invented task names cannot exhaust its memory.
const MAX_TASKS: usize = 256;

/// An accepted proposal, valid until `expires_at` on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AcceptedProposal {
    ballot: Ballot,
    expires_at: Nanos,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct TaskState {
    promised: Ballot,
    accepted: Option<AcceptedProposal>,
}

impl TaskState {
    /// Returns the accepted proposal if it belongs to another proposer, or to another incarnation, than `ballot`.
    fn accepted_from_other(&self, ballot: Ballot) -> Option<AcceptedProposal> {
        self.accepted
            .filter(|accepted| !accepted.ballot.has_same_owner(ballot))
    }

    fn remove_expired(&mut self, now: Nanos) {
        self.accepted = self.accepted.filter(|accepted| now < accepted.expires_at);
    }

    fn reject(&self, now: Nanos, other: Option<AcceptedProposal>) -> Body {
        Body::Reject {
            promised: self.promised,
            remaining: other.map_or(0, |accepted| accepted.expires_at - now),
        }
    }

    /// Handles a prepare message.
    ///
    /// The ballot must be strictly greater than the promised one. Otherwise two processes of one proposer that reached
    /// the same round could both receive a promise for it. A rejected ballot does not raise the promised ballot.
    /// Otherwise many competing proposers could raise it above the ballot of a holder that is about to renew.
    fn prepare(&mut self, now: Nanos, ballot: Ballot) -> Body {
        let other = self.accepted_from_other(ballot);
        if ballot <= self.promised || other.is_some() {
            return self.reject(now, other);
        }
        self.promised = ballot;
        Body::Promise
    }

    /// Handles a propose message; `duration` is how long the accepted proposal stays valid.
    fn propose(&mut self, now: Nanos, ballot: Ballot, duration: Nanos) -> Body {
        let other = self.accepted_from_other(ballot);
        if ballot < self.promised || other.is_some() {
            return self.reject(now, other);
        }
        // A repeated proposal, however late it arrives, does not extend the expiry set when it was first accepted.
        if self
            .accepted
            .is_none_or(|accepted| accepted.ballot != ballot)
        {
            self.accepted = Some(AcceptedProposal {
                ballot,
                expires_at: now.saturating_add(duration),
            });
        }
        self.promised = ballot;
        Body::Accepted
    }

    /// Handles a release message.
    ///
    /// Acceptors may have accepted different ballots of one holder, so that the release of a ballot also releases the
    /// holder's lower ballots.
    fn release(&mut self, ballot: Ballot) {
        if self.accepted_from_other(ballot).is_none() {
            self.accepted = self.accepted.filter(|accepted| accepted.ballot > ballot);
        }
    }
}

/// The acceptor of one process, which serves the leases of all tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    timing: LeaseTiming,
    silent_until: Nanos,
    tasks: BTreeMap<String, TaskState>,
}

impl Acceptor {
    /// Creates the acceptor of a process that starts at `now`.
    ///
    /// It sends no response until every proposal that the previous process may have accepted has expired: an earlier
    /// response could allow a second holder.
    pub fn new(timing: LeaseTiming, now: Nanos) -> Self {
        Acceptor {
            timing,
            silent_until: now.saturating_add(timing.restart_silence()),
            tasks: BTreeMap::new(),
        }
    }

    /// Handles a proposer's message and returns the response.
    ///
    /// Returns `None` after a release, for the message kinds that acceptors send, during the silence after the start,
    /// and for a further task when the maximum number of tasks is stored.
    pub fn handle(&mut self, now: Nanos, message: &Message) -> Option<Body> {
        if now < self.silent_until || !self.has_capacity_for(&message.task) {
            return None;
        }
        let task = self.tasks.entry(message.task.clone()).or_default();
        task.remove_expired(now);
        match message.body {
            Body::Prepare => Some(task.prepare(now, message.ballot)),
            Body::Propose => Some(task.propose(now, message.ballot, self.timing.duration)),
            Body::Release => {
                task.release(message.ballot);
                None
            }
            Body::Promise | Body::Reject { .. } | Body::Accepted => None,
        }
    }

    fn has_capacity_for(&self, task: &str) -> bool {
        self.tasks.len() < MAX_TASKS || self.tasks.contains_key(task)
    }
}
