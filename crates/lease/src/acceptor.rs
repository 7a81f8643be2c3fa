//! An acceptor: the ballot it has promised and the proposal it has accepted for each task, in memory only.
//!
//! It knows neither lease holders nor the targets of their operations.

use crate::{Ballot, Body, LeaseTiming, Message, Nanos};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The most tasks that an acceptor keeps. Messages about further tasks are ignored, so that names of tasks that do not
/// exist cannot fill its memory.
const MAX_TASKS: usize = 256;

/// A proposal that was accepted, until it expires on this process's clock.
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
    /// The accepted proposal, where it is another proposer's or another incarnation's than the ballot.
    fn accepted_from_other(&self, ballot: Ballot) -> Option<AcceptedProposal> {
        self.accepted
            .filter(|accepted| !accepted.ballot.has_same_owner(ballot))
    }

    fn expire(&mut self, now: Nanos) {
        self.accepted = self.accepted.filter(|accepted| now < accepted.expires_at);
    }

    fn reject(&self, now: Nanos, other: Option<AcceptedProposal>) -> Body {
        Body::Reject {
            promised: self.promised,
            remaining: other.map_or(0, |accepted| accepted.expires_at - now),
        }
    }

    /// A ballot must be strictly greater than the promised one: otherwise two processes of one proposer that reached the
    /// same round could both be promised it. A rejected ballot is not promised anything: otherwise many proposers would
    /// raise the ballot above a holder that is about to renew.
    fn prepare(&mut self, now: Nanos, ballot: Ballot) -> Body {
        let other = self.accepted_from_other(ballot);
        if ballot <= self.promised || other.is_some() {
            return self.reject(now, other);
        }
        self.promised = ballot;
        Body::Promise
    }

    fn propose(&mut self, now: Nanos, ballot: Ballot, duration: Nanos) -> Body {
        let other = self.accepted_from_other(ballot);
        if ballot < self.promised || other.is_some() {
            return self.reject(now, other);
        }
        // A proposal that is repeated, however late, expires no later than when it was first accepted.
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

    /// Acceptors may have accepted different ballots of one holder: releasing the latest releases those before it.
    fn release(&mut self, ballot: Ballot) {
        if self.accepted_from_other(ballot).is_none() {
            self.accepted = self.accepted.filter(|accepted| accepted.ballot > ballot);
        }
    }
}

/// The acceptor of one process, for all tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    timing: LeaseTiming,
    silent_until: Nanos,
    tasks: BTreeMap<String, TaskState>,
}

impl Acceptor {
    /// Creates the acceptor of a process that starts now.
    ///
    /// It stays silent until every proposal that a previous process may have accepted has expired; answering earlier
    /// could make a second holder.
    pub fn new(timing: LeaseTiming, now: Nanos) -> Self {
        Acceptor {
            timing,
            silent_until: now.saturating_add(timing.restart_silence()),
            tasks: BTreeMap::new(),
        }
    }

    /// Handles a proposer's message and returns the response, if there is one.
    pub fn handle(&mut self, now: Nanos, message: &Message) -> Option<Body> {
        if now < self.silent_until || !self.has_capacity_for(&message.task) {
            return None;
        }
        let task = self.tasks.entry(message.task.clone()).or_default();
        task.expire(now);
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
