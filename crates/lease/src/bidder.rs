//! A bidder for one task's lease: asks the voters, holds while a majority stands by it, and renews in time.

use crate::guard::Guard;
use crate::{Ballot, Body, Message, Nanos, Terms, Token};

/// A holder asks again once this part of what it may hold has passed: two tries fit into the rest.
const RENEW_AFTER: (u64, u64) = (1, 3);

/// How far a bid has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nothing is asked.
    Idle,
    /// Voters are asked whether they are free; those that said so.
    Preparing {
        /// Voters that are free, by number.
        free: Vec<u32>,
    },
    /// Voters are asked for their votes.
    Proposing {
        /// When this began: what may be held counts from before any vote was given.
        began: Nanos,
        /// Voters that gave theirs, by number.
        votes: Vec<u32>,
    },
}

/// One limiter's bid for one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bidder {
    terms: Terms,
    task: String,
    me: u32,
    boot: u32,
    voters: usize,
    ballot: Ballot,
    /// The greatest round heard of.
    heard: u64,
    phase: Phase,
    /// Voters that stand by another in this round, by number, and for how long.
    stand: Vec<(u32, Nanos)>,
    /// What is held: the ballot that voters stand by, the token, and until when.
    held: Option<(Ballot, Token, Nanos)>,
    /// When the next round may begin.
    next: Nanos,
    round_ends: Nanos,
    /// How long this limiter lets others go first where the lease is free.
    turn: Nanos,
    /// How long a round may take.
    patience: Nanos,
}

impl Bidder {
    /// A bidder that has asked for nothing. `round` is where its rounds begin: Unix time in milliseconds, so that they
    /// grow over restarts of all voters too; nothing rests on it but how soon a target that has seen more agrees.
    pub fn new(
        terms: Terms,
        task: &str,
        me: u32,
        boot: u32,
        voters: usize,
        round: u64,
        now: Nanos,
    ) -> Self {
        let patience = (terms.held() / 10).max(1);
        Bidder {
            terms,
            task: task.to_owned(),
            me,
            boot,
            voters,
            ballot: Ballot::default(),
            heard: round,
            phase: Phase::Idle,
            stand: Vec::new(),
            held: None,
            next: now,
            round_ends: now,
            turn: 0,
            patience,
        }
    }

    /// Lets others go first by so much, where the lease is free; see [`crate::turn`].
    pub fn wait_turn(&mut self, now: Nanos, turn: Nanos) {
        self.turn = turn;
        if self.held(now).is_none() && self.phase == Phase::Idle {
            self.next = self.next.max(now.saturating_add(turn));
        }
    }

    /// The task.
    pub fn task(&self) -> &str {
        &self.task
    }

    /// A guard for acts, where the lease is held.
    pub fn held(&self, now: Nanos) -> Option<Guard> {
        self.held
            .filter(|(_, _, until)| now < *until)
            .map(|(_, token, until)| Guard::new(token, until))
    }

    /// When [`Bidder::tick`] is due.
    pub fn due(&self) -> Nanos {
        if self.phase == Phase::Idle {
            self.next
        } else {
            self.round_ends
        }
    }

    /// Time has passed: a round that took too long is over, and the next one begins where it is due. What it returns
    /// goes to all voters.
    pub fn tick(&mut self, now: Nanos) -> Option<Message> {
        if self.phase != Phase::Idle && now >= self.round_ends {
            self.phase = Phase::Idle;
            // Guards against two that outbid each other for ever: each waits its own turn.
            self.next = now.saturating_add(if self.held(now).is_some() {
                self.patience
            } else {
                self.turn.max(1)
            });
        }
        if self.phase != Phase::Idle || now < self.next {
            return None;
        }
        self.heard += 1;
        self.ballot = Ballot {
            round: self.heard,
            bidder: self.me,
            boot: self.boot,
        };
        self.phase = Phase::Preparing { free: Vec::new() };
        self.stand.clear();
        self.round_ends = now.saturating_add(self.patience);
        Some(self.say(Body::Prepare))
    }

    /// Takes a voter's answer. What it returns goes to all voters.
    pub fn handle(&mut self, now: Nanos, voter: u32, message: &Message) -> Option<Message> {
        if message.task != self.task {
            return None;
        }
        let majority = self.voters / 2 + 1;
        if let Body::Refused { promised, left } = message.body {
            self.heard = self.heard.max(promised.round);
            let mine = message.ballot == self.ballot && self.phase != Phase::Idle;
            if mine && left > 0 && self.held(now).is_none() {
                self.stand.retain(|(other, _)| *other != voter);
                self.stand.push((voter, left));
                // Guards against waiting for one voter that stands by a holder that is gone, where the others are
                // free. Without them nothing is to be had before the first lets go, and then by turns.
                if self.stand.len() + majority > self.voters {
                    let first = self
                        .stand
                        .iter()
                        .map(|(_, left)| *left)
                        .min()
                        .unwrap_or(left);
                    self.phase = Phase::Idle;
                    self.next = self
                        .next
                        .max(now.saturating_add(first).saturating_add(self.turn));
                }
            }
            return None;
        }
        if message.ballot != self.ballot || now >= self.round_ends {
            return None;
        }
        match (&mut self.phase, message.body) {
            (Phase::Preparing { free }, Body::Free) => {
                note(free, voter);
                if free.len() < majority {
                    return None;
                }
                self.phase = Phase::Proposing {
                    began: now,
                    votes: Vec::new(),
                };
                Some(self.say(Body::Propose))
            }
            (Phase::Proposing { began, votes }, Body::Voted) => {
                note(votes, voter);
                let (began, enough) = (*began, votes.len() >= majority);
                if enough {
                    let token = self.held(now).map_or(self.ballot, |guard| guard.token());
                    self.held = Some((self.ballot, token, began.saturating_add(self.terms.held())));
                    self.phase = Phase::Idle;
                    self.next =
                        began.saturating_add(self.terms.held() / RENEW_AFTER.1 * RENEW_AFTER.0);
                }
                None
            }
            _ => None,
        }
    }

    /// Another has given its lease up: whoever waited for its end need not, but goes by turns.
    pub fn freed(&mut self, now: Nanos, message: &Message) {
        let others = message.task == self.task && message.ballot.bidder != self.me;
        if others
            && message.body == Body::GivenUp
            && self.phase == Phase::Idle
            && self.held(now).is_none()
        {
            // The voters hear of it at about the same time.
            self.next = self.next.min(
                now.saturating_add(self.turn)
                    .saturating_add(self.patience / 4),
            );
        }
    }

    /// A target has seen a greater token: what is held is of no use, and the next bid goes above it.
    pub fn outdated(&mut self, now: Nanos, seen: Token) {
        self.heard = self.heard.max(seen.round);
        self.held = None;
        self.phase = Phase::Idle;
        self.next = now;
    }

    /// Gives the lease up in order: nothing is begun any more from here on, and what it returns goes to all voters
    /// once the last act is over. Bids nothing for as long as a lease lasts, so that another gets it.
    pub fn give_up(&mut self, now: Nanos) -> Option<Message> {
        let held = self.held.take().filter(|(_, _, until)| now < *until);
        self.phase = Phase::Idle;
        self.next = now.saturating_add(self.terms.length);
        let (ballot, ..) = held?;
        Some(Message {
            task: self.task.clone(),
            ballot,
            body: Body::GivenUp,
        })
    }

    fn say(&self, body: Body) -> Message {
        Message {
            task: self.task.clone(),
            ballot: self.ballot,
            body,
        }
    }
}

/// Counts each voter once, however often it answers.
fn note(heard: &mut Vec<u32>, voter: u32) {
    if let Err(place) = heard.binary_search(&voter) {
        heard.insert(place, voter);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: Terms = Terms {
        length: 1_000_000,
        drift: 10,
    };

    fn bidder(turn: Nanos) -> Bidder {
        let mut bidder = Bidder::new(TERMS, "t", 0, 1, 3, 5, 0);
        bidder.wait_turn(0, turn);
        bidder
    }

    fn said(to: &Message, body: Body) -> Message {
        Message { body, ..to.clone() }
    }

    fn refused(left: Nanos) -> Body {
        Body::Refused {
            promised: Ballot::default(),
            left,
        }
    }

    #[test]
    fn one_voter_that_stands_by_another_does_not_keep_the_others_from_agreeing() {
        let mut bidder = bidder(0);
        let asked = bidder.tick(0).expect("its turn");
        assert_eq!(bidder.handle(1, 0, &said(&asked, refused(900_000))), None);
        assert_eq!(bidder.handle(1, 1, &said(&asked, Body::Free)), None);
        let proposed = bidder
            .handle(1, 2, &said(&asked, Body::Free))
            .expect("two of three are free");
        assert_eq!(bidder.handle(2, 1, &said(&proposed, Body::Voted)), None);
        bidder.handle(2, 2, &said(&proposed, Body::Voted));
        assert!(bidder.held(3).is_some());
    }

    #[test]
    fn where_a_majority_stands_by_others_the_next_bid_waits_for_the_first_to_let_go() {
        let mut bidder = bidder(7_000);
        let asked = bidder.tick(7_000).expect("its turn");
        bidder.handle(8_000, 0, &said(&asked, refused(900_000)));
        bidder.handle(8_000, 0, &said(&asked, refused(900_000)));
        assert_ne!(
            bidder.phase,
            Phase::Idle,
            "one voter, however often it answers"
        );
        bidder.handle(8_000, 1, &said(&asked, refused(400_000)));
        assert_eq!(
            (&bidder.phase, bidder.due()),
            (&Phase::Idle, 8_000 + 400_000 + 7_000)
        );
    }

    #[test]
    fn who_hears_that_a_lease_was_given_up_bids_by_turns_and_not_at_its_end() {
        let mut bidder = bidder(7_000);
        let asked = bidder.tick(7_000).expect("its turn");
        (0..2).for_each(|voter| drop(bidder.handle(8_000, voter, &said(&asked, refused(900_000)))));
        let of = |task: &str, bidder| Message {
            task: task.into(),
            ballot: Ballot {
                round: 9,
                bidder,
                boot: 1,
            },
            body: Body::GivenUp,
        };
        for other in [of("another", 2), of("t", 0)] {
            bidder.freed(10_000, &other);
            assert_eq!(bidder.due(), 915_000, "neither another task's nor its own");
        }
        bidder.freed(10_000, &of("t", 2));
        assert!(
            bidder.due() < 10_000 + 7_000 + TERMS.held() / 10,
            "{}",
            bidder.due()
        );
        assert!(bidder.tick(bidder.due()).is_some());
    }
}
