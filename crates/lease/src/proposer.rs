//! A proposer for the lease of one task: it asks the acceptors, holds the lease while a majority has accepted its
//! proposal, and renews it in time.

use crate::guard::Guard;
use crate::{Ballot, Body, FencingToken, LeaseTiming, Message, Nanos};
use round::{HeldLease, Rejection};
use std::collections::BTreeSet;

mod round;
#[cfg(test)]
mod tests;

pub use round::{AcceptorIndex, Phase};

/// A holder renews once this part of its validity has passed, which leaves time for two further rounds.
const RENEWAL_FRACTION: u64 = 3;

/// A round of prepare and propose may take this part of the holder's validity.
const ROUND_TIMEOUT_FRACTION: u64 = 10;

/// The configuration of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// The duration of leases.
    pub timing: LeaseTiming,
    /// The task's name.
    pub task: String,
    /// This limiter's index among all limiters.
    pub node_id: u32,
    /// Which process of this limiter it is.
    pub incarnation: u32,
    /// How many acceptors there are.
    pub acceptor_count: usize,
    /// The round before the first one: Unix time in milliseconds, so that rounds grow even when all acceptors have
    /// restarted. Safety does not depend on it; it decides only how soon a target that has seen higher tokens admits
    /// this proposer's.
    pub initial_round: u64,
}

/// One limiter's proposer for the lease of one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    config: ProposerConfig,
    /// The ballot of the current round.
    ballot: Ballot,
    /// The greatest round that this proposer has learned of.
    highest_round: u64,
    phase: Phase,
    rejections: Vec<Rejection>,
    held: Option<HeldLease>,
    /// When the next round may begin.
    next_round_at: Nanos,
    round_deadline: Nanos,
    /// How long this limiter lets others propose first where the lease is free.
    stagger_delay: Nanos,
    round_timeout: Nanos,
}

impl Proposer {
    /// Creates a proposer that has not sent anything yet.
    pub fn new(config: ProposerConfig, now: Nanos) -> Self {
        let round_timeout = (config.timing.holder_validity() / ROUND_TIMEOUT_FRACTION).max(1);
        Proposer {
            highest_round: config.initial_round,
            config,
            ballot: Ballot::default(),
            phase: Phase::Idle,
            rejections: Vec::new(),
            held: None,
            next_round_at: now,
            round_deadline: now,
            stagger_delay: 0,
            round_timeout,
        }
    }

    /// Sets how long others may propose first where the lease is free; see [`crate::stagger_delay`].
    pub fn set_stagger_delay(&mut self, now: Nanos, delay: Nanos) {
        self.stagger_delay = delay;
        if self.guard(now).is_none() && self.phase == Phase::Idle {
            self.next_round_at = self.next_round_at.max(now.saturating_add(delay));
        }
    }

    /// The task's name.
    pub fn task(&self) -> &str {
        &self.config.task
    }

    /// The guard for operations, where the lease is held.
    pub fn guard(&self, now: Nanos) -> Option<Guard> {
        self.held
            .filter(|held| now < held.expires_at)
            .map(|held| Guard::new(held.token, held.expires_at))
    }

    /// When [`Proposer::tick`] is due.
    pub fn next_deadline(&self) -> Nanos {
        if self.phase == Phase::Idle {
            self.next_round_at
        } else {
            self.round_deadline
        }
    }

    /// Ends a round that has timed out, and begins the next one when it is due. The returned message goes to all
    /// acceptors.
    pub fn tick(&mut self, now: Nanos) -> Option<Message> {
        if self.phase != Phase::Idle && now >= self.round_deadline {
            self.abandon_round(now);
        }
        if self.phase != Phase::Idle || now < self.next_round_at {
            return None;
        }
        Some(self.begin_round(now))
    }

    /// Handles the response of an acceptor, by its index among all limiters. The returned message goes to all acceptors.
    pub fn handle_response(
        &mut self,
        now: Nanos,
        acceptor: u32,
        message: &Message,
    ) -> Option<Message> {
        if message.task != self.config.task {
            return None;
        }
        let acceptor = AcceptorIndex(acceptor);
        let is_current = message.ballot == self.ballot && now < self.round_deadline;
        match message.body {
            Body::Reject {
                promised,
                remaining,
            } => {
                self.highest_round = self.highest_round.max(promised.round);
                let rejection = Rejection {
                    acceptor,
                    remaining,
                };
                self.handle_rejection(now, message.ballot, rejection);
                None
            }
            Body::Promise if is_current => self.handle_promise(now, acceptor),
            Body::Accepted if is_current => {
                self.handle_accepted(now, acceptor);
                None
            }
            _ => None,
        }
    }

    /// Another limiter has released its lease: a proposer that waits for the lease to expire waits only for its stagger
    /// delay instead.
    pub fn handle_release(&mut self, now: Nanos, message: &Message) {
        let is_of_other =
            message.task == self.config.task && message.ballot.proposer != self.config.node_id;
        let waits = self.phase == Phase::Idle && self.guard(now).is_none();
        if is_of_other && message.body == Body::Release && waits {
            // The acceptors receive the release at about the same time; a part of a round lets it arrive there first.
            let earliest = now
                .saturating_add(self.stagger_delay)
                .saturating_add(self.round_timeout / 4);
            self.next_round_at = self.next_round_at.min(earliest);
        }
    }

    /// A target has rejected this holder's token as stale: the lease is dropped, and the next ballot is greater than the
    /// token that the target has seen.
    pub fn handle_stale_token(&mut self, now: Nanos, highest: FencingToken) {
        self.highest_round = self.highest_round.max(highest.round);
        self.held = None;
        self.phase = Phase::Idle;
        self.next_round_at = now;
    }

    /// Releases the lease. No operation is permitted from here on; the returned message is to be sent to all acceptors
    /// once the last operation has ended. The proposer then waits for the duration of a lease, so that another limiter
    /// acquires it.
    pub fn release(&mut self, now: Nanos) -> Option<Message> {
        let held = self.held.take().filter(|held| now < held.expires_at);
        self.phase = Phase::Idle;
        self.next_round_at = now.saturating_add(self.config.timing.duration);
        Some(Message {
            task: self.config.task.clone(),
            ballot: held?.ballot,
            body: Body::Release,
        })
    }

    fn begin_round(&mut self, now: Nanos) -> Message {
        self.highest_round += 1;
        self.ballot = Ballot {
            round: self.highest_round,
            proposer: self.config.node_id,
            incarnation: self.config.incarnation,
        };
        self.phase = Phase::Preparing {
            promised: BTreeSet::new(),
        };
        self.rejections.clear();
        self.round_deadline = now.saturating_add(self.round_timeout);
        self.message(Body::Prepare)
    }

    /// Ends a round without a result. Proposers wait for different stagger delays before the next one, as two that retry
    /// in step would outbid each other forever.
    fn abandon_round(&mut self, now: Nanos) {
        self.phase = Phase::Idle;
        let delay = if self.guard(now).is_some() {
            self.round_timeout
        } else {
            self.stagger_delay.max(1)
        };
        self.next_round_at = now.saturating_add(delay);
    }

    fn handle_promise(&mut self, now: Nanos, acceptor: AcceptorIndex) -> Option<Message> {
        let majority = self.majority();
        let Phase::Preparing { promised } = &mut self.phase else {
            return None;
        };
        promised.insert(acceptor);
        if promised.len() < majority {
            return None;
        }
        self.phase = Phase::Proposing {
            started_at: now,
            accepted: BTreeSet::new(),
        };
        Some(self.message(Body::Propose))
    }

    fn handle_accepted(&mut self, now: Nanos, acceptor: AcceptorIndex) {
        let majority = self.majority();
        let Phase::Proposing {
            started_at,
            accepted,
        } = &mut self.phase
        else {
            return;
        };
        accepted.insert(acceptor);
        if accepted.len() >= majority {
            let started_at = *started_at;
            self.acquire(now, started_at);
        }
    }

    /// Takes or renews the lease, which counts from when the proposal was sent.
    fn acquire(&mut self, now: Nanos, started_at: Nanos) {
        let validity = self.config.timing.holder_validity();
        let token = self.guard(now).map_or(self.ballot, |guard| guard.token());
        self.held = Some(HeldLease {
            ballot: self.ballot,
            token,
            expires_at: started_at.saturating_add(validity),
        });
        self.phase = Phase::Idle;
        self.next_round_at = started_at.saturating_add(validity / RENEWAL_FRACTION);
    }

    /// Counts an acceptor that has accepted another's proposal. Once too many have for a majority, the round is over, and
    /// the next one waits until the first of these proposals expires, and then for the stagger delay.
    ///
    /// One such acceptor alone does not end the round: its proposal may be of a holder that has failed, while a
    /// majority is free.
    fn handle_rejection(&mut self, now: Nanos, ballot: Ballot, rejection: Rejection) {
        let is_current = ballot == self.ballot && self.phase != Phase::Idle;
        if !is_current || rejection.remaining == 0 || self.guard(now).is_some() {
            return;
        }
        self.rejections
            .retain(|other| other.acceptor != rejection.acceptor);
        self.rejections.push(rejection);
        if self.rejections.len() + self.majority() <= self.config.acceptor_count {
            return;
        }
        let first_expiry = self
            .rejections
            .iter()
            .map(|rejection| rejection.remaining)
            .min()
            .unwrap_or(rejection.remaining);
        let earliest = now
            .saturating_add(first_expiry)
            .saturating_add(self.stagger_delay);
        self.phase = Phase::Idle;
        self.next_round_at = self.next_round_at.max(earliest);
    }

    fn majority(&self) -> usize {
        self.config.acceptor_count / 2 + 1
    }

    fn message(&self, body: Body) -> Message {
        Message {
            task: self.config.task.clone(),
            ballot: self.ballot,
            body,
        }
    }
}
