//! A voter: what it has promised and whom it has voted for, in memory only. Knows neither holders nor targets.

use crate::{Ballot, Body, Message, Nanos, Terms};
use std::collections::BTreeMap;

/// Tasks that a voter keeps at most: guards against growing with names that nobody uses. Past it it gives no vote.
const MOST_TASKS: usize = 256;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Vote {
    promised: Ballot,
    /// The ballot voted for, and until when by this process's clock.
    given: Option<(Ballot, Nanos)>,
}

/// One voter's votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: Terms,
    quiet_until: Nanos,
    votes: BTreeMap<String, Vote>,
}

impl Voter {
    /// A voter whose process starts now and remembers nothing. Guards against two holders after a restart: it is
    /// quiet until any vote that it may have given before is over.
    pub fn new(terms: Terms, now: Nanos) -> Self {
        Voter {
            terms,
            quiet_until: now.saturating_add(terms.quiet()),
            votes: BTreeMap::new(),
        }
    }

    /// The answer to a bidder's message; `None` where there is none.
    pub fn handle(&mut self, now: Nanos, message: &Message) -> Option<Body> {
        if now < self.quiet_until
            || self.votes.len() >= MOST_TASKS && !self.votes.contains_key(&message.task)
        {
            return None;
        }
        let vote = self.votes.entry(message.task.clone()).or_default();
        vote.given = vote.given.filter(|(_, until)| now < *until);
        let ballot = message.ballot;
        let other = vote
            .given
            .filter(|(given, _)| (given.bidder, given.boot) != (ballot.bidder, ballot.boot));
        let refused = |vote: &Vote| {
            let left = other.map_or(0, |(_, until)| until - now);
            Some(Body::Refused {
                promised: vote.promised,
                left,
            })
        };
        match message.body {
            // Strictly greater: two processes of one bidder that came to one number are told apart.
            // Who is refused is promised nothing: guards against many bidders that raise the ballot past a holder that
            // would renew.
            Body::Prepare if ballot <= vote.promised || other.is_some() => refused(vote),
            Body::Prepare => {
                vote.promised = ballot;
                Some(Body::Free)
            }
            Body::Propose if ballot < vote.promised || other.is_some() => refused(vote),
            Body::Propose => {
                // The same proposal again, however late, holds no longer than the first.
                if vote.given.is_none_or(|(given, _)| given != ballot) {
                    vote.given = Some((ballot, now.saturating_add(self.terms.length)));
                }
                vote.promised = ballot;
                Some(Body::Voted)
            }
            Body::GivenUp => {
                // Some may stand by an earlier ballot of the same holder's.
                vote.given = vote
                    .given
                    .filter(|(given, _)| other.is_some() || *given > ballot);
                None
            }
            Body::Free | Body::Refused { .. } | Body::Voted => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(round: u64, bidder: u32, body: Body) -> Message {
        Message {
            task: "t".into(),
            ballot: Ballot {
                round,
                bidder,
                boot: 1,
            },
            body,
        }
    }

    #[test]
    fn a_bidder_that_is_refused_does_not_outbid_the_holder_that_renews() {
        let terms = Terms {
            length: 1_000,
            drift: 10,
        };
        let mut voter = Voter::new(terms, 0);
        assert_eq!(
            voter.handle(0, &message(1, 0, Body::Prepare)),
            None,
            "quiet after its start"
        );
        let now = terms.quiet();
        assert_eq!(
            voter.handle(now, &message(1, 0, Body::Prepare)),
            Some(Body::Free)
        );
        assert_eq!(
            voter.handle(now, &message(1, 0, Body::Propose)),
            Some(Body::Voted)
        );
        let refused = voter.handle(now, &message(9, 1, Body::Prepare));
        assert!(
            matches!(refused, Some(Body::Refused { left: 1_000, .. })),
            "{refused:?}"
        );
        assert_eq!(
            voter.handle(now, &message(2, 0, Body::Prepare)),
            Some(Body::Free),
            "the holder renews"
        );
    }
}
