//! The proposer for the lease of one task: it sends proposals to the acceptors, holds the lease while a majority has
//! accepted its proposal, and renews the lease before it expires.

use crate::guard::Guard;
use crate::{Ballot, Body, FencingToken, LeaseTiming, Message, Nanos};
use round::{HeldLease, Rejection};
use std::collections::BTreeSet;

mod round;
#[cfg(test)]
mod tests;

pub use round::{AcceptorIndex, Phase};

/// The divisor of the holder's validity that gives when a holder renews: after one third, which leaves time for two
/// further rounds.
const RENEWAL_FRACTION: u64 = 3;

/// The divisor of the holder's validity that gives the timeout of a round of prepare and propose.
const ROUND_TIMEOUT_FRACTION: u64 = 10;

/// The configuration of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// The duration of leases and the bound on clock drift.
    pub timing: LeaseTiming,
    /// The name of the task, 1 to 64 bytes of UTF-8.
    pub task: String,
    /// This limiter's index among all limiters.
    pub node_id: u32,
    /// The incarnation of this process, different from that of an earlier process of this limiter.
    pub incarnation: u32,
    /// The number of acceptors, odd; more than half of them are a majority.
    pub acceptor_count: usize,
    /// The round before the first one: the Unix time in milliseconds, so that rounds increase even if all acceptors
    /// have restarted. Safety does not depend on it; it determines only how soon a target that has seen higher tokens
    /// admits the tokens of this proposer.
    pub initial_round: u64,
}

/// The proposer of one limiter for the lease of one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    config: ProposerConfig,
    /// The ballot of the current round.
    ballot: Ballot,
    /// The greatest round that this proposer has seen.
    highest_round: u64,
    phase: Phase,
    rejections: Vec<Rejection>,
    held: Option<HeldLease>,
    /// The time from which the next round may begin.
    next_round_at: Nanos,
    round_deadline: Nanos,
    /// How long this limiter waits before it proposes when the lease is free, to let others propose first.
    stagger_delay: Nanos,
    round_timeout: Nanos,
}

impl Proposer {
    /// Creates a proposer whose first round is due at `now`.
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

    /// Sets how long this limiter waits before it proposes when the lease is free; see [`crate::stagger_delay`].
    pub fn set_stagger_delay(&mut self, now: Nanos, delay: Nanos) {
        self.stagger_delay = delay;
        if self.guard(now).is_none() && self.phase == Phase::Idle {
            self.next_round_at = self.next_round_at.max(now.saturating_add(delay));
        }
    }

    /// Returns the name of the task whose lease this proposer requests.
    pub fn task(&self) -> &str {
        &self.config.task
    }

    /// Returns a guard for operations, or `None` if the lease is not held at `now`.
    pub fn guard(&self, now: Nanos) -> Option<Guard> {
        self.held
            .filter(|held| now < held.expires_at)
            .map(|held| Guard::new(held.token, held.expires_at))
    }

    /// Returns when [`Proposer::tick`] is due next.
    pub fn next_deadline(&self) -> Nanos {
        if self.phase == Phase::Idle {
            self.next_round_at
        } else {
            self.round_deadline
        }
    }

    /// Ends a round that has timed out, and begins the next one if it is due. The returned message is to be sent to all
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

    /// Handles the response of an acceptor, given by its index among all limiters. The returned message is to be sent
    /// to all acceptors.
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

    /// Handles another limiter's release of its lease: a proposer that waits for the lease to expire waits only for its
    /// stagger delay and a quarter of the round timeout.
    pub fn handle_release(&mut self, now: Nanos, message: &Message) {
        let is_from_other =
            message.task == self.config.task && message.ballot.proposer != self.config.node_id;
        let is_waiting = self.phase == Phase::Idle && self.guard(now).is_none();
        if is_from_other && message.body == Body::Release && is_waiting {
            // The acceptors receive the release at about the same time as this proposer. A quarter of the round timeout
            // lets the release reach them before the next prepare message.
            let earliest = now
                .saturating_add(self.stagger_delay)
                .saturating_add(self.round_timeout / 4);
            self.next_round_at = self.next_round_at.min(earliest);
        }
    }

    /// Handles a target's rejection of this holder's token as stale: gives up the lease, and makes the next round due
    /// at once, with a ballot greater than the highest token that the target has admitted.
    pub fn handle_stale_token(&mut self, now: Nanos, highest: FencingToken) {
        self.highest_round = self.highest_round.max(highest.round);
        self.held = None;
        self.phase = Phase::Idle;
        self.next_round_at = now;
    }

    /// Releases the lease, so that no further operation is permitted. Returns the message to be sent to all acceptors
    /// once the last operation has ended, or `None` if the lease is not held.
    ///
    /// The proposer does not propose again for the duration of a lease, so that another limiter can acquire it.
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

    /// Ends a round without a result. Proposers wait for different stagger delays before the next round, because two
    /// that retry at the same time would keep outbidding each other.
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

    /// Acquires or renews the lease, whose validity counts from when the proposal was sent.
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

    /// Handles the rejection of an acceptor that has accepted another proposer's proposal. When the other acceptors are
    /// too few for a majority, the round ends. The next one begins after the first of these proposals expires and the
    /// stagger delay has passed.
    ///
    /// One such acceptor among three or more does not end the round: its proposal may belong to a holder that has
    /// failed, while a majority is free.
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
