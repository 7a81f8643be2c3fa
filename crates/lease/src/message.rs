//! What limiters tell each other about leases, and its form in bytes.

use crate::Nanos;
use thiserror::Error;

/// The longest message in bytes; a longer one is dropped unread.
pub const MOST_BYTES: usize = 256;
const MOST_TASK_BYTES: usize = 64;

/// A numbered attempt to get a lease. Greater goes before less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// The round, greater than any that its bidder has heard of.
    pub round: u64,
    /// The bidder's number among all limiters.
    pub bidder: u32,
    /// Which process of the bidder's it was: tells its answers from those to a process before it.
    pub boot: u32,
}

/// What an act carries. It stays the same while one holder keeps the lease and is greater for the next one.
pub type Token = Ballot;

/// What a message says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Body {
    /// A bidder asks a voter to heed no lesser ballot.
    Prepare,
    /// The voter will, and stands by no other bidder's vote at this moment.
    Free,
    /// The voter will not: it heeds `promised`, or stands by another's vote for `left` more.
    Refused {
        /// The greatest ballot that the voter heeds.
        promised: Ballot,
        /// How long its vote for another bidder holds, in nanoseconds of its clock; 0 where there is none.
        left: Nanos,
    },
    /// A bidder whom a majority found free asks for the vote.
    Propose,
    /// The voter has given its vote.
    Voted,
    /// The holder acts no more: its vote may go to another at once.
    GivenUp,
}

/// A message about one task's lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The task.
    pub task: String,
    /// The ballot that it is about.
    pub ballot: Ballot,
    /// What it says.
    pub body: Body,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum Fault {
    /// It ends too soon, or goes on after its end.
    #[error("torn: its length is not what it says")]
    Torn,
    /// Its kind is not known to this version.
    #[error("of an unknown kind")]
    Unknown,
    /// Its task is empty, too long or no text.
    #[error("its task is not 1 to {MOST_TASK_BYTES} bytes of text")]
    Task,
}

impl Message {
    /// Appends its bytes: kind, ballot, what the kind has, the task with its length. Numbers are big-endian.
    pub fn write(&self, out: &mut Vec<u8>) {
        let ballot = |ballot: &Ballot, out: &mut Vec<u8>| {
            out.extend(ballot.round.to_be_bytes());
            out.extend(ballot.bidder.to_be_bytes());
            out.extend(ballot.boot.to_be_bytes());
        };
        let (kind, more) = match self.body {
            Body::Prepare => (1, None),
            Body::Free => (2, None),
            Body::Refused { promised, left } => (3, Some((promised, left))),
            Body::Propose => (4, None),
            Body::Voted => (5, None),
            Body::GivenUp => (6, None),
        };
        out.push(kind);
        ballot(&self.ballot, out);
        if let Some((promised, left)) = more {
            ballot(&promised, out);
            out.extend(left.to_be_bytes());
        }
        out.push(self.task.len().min(MOST_TASK_BYTES) as u8);
        out.extend(self.task.bytes().take(MOST_TASK_BYTES));
    }

    /// Reads what [`Message::write`] wrote.
    ///
    /// # Errors
    /// Where the bytes are anything else.
    pub fn read(bytes: &[u8]) -> Result<Message, Fault> {
        let mut rest = bytes;
        let kind = take::<1>(&mut rest)?[0];
        let ballot = read_ballot(&mut rest)?;
        let body = match kind {
            1 => Body::Prepare,
            2 => Body::Free,
            3 => {
                let promised = read_ballot(&mut rest)?;
                Body::Refused {
                    promised,
                    left: Nanos::from_be_bytes(take(&mut rest)?),
                }
            }
            4 => Body::Propose,
            5 => Body::Voted,
            6 => Body::GivenUp,
            _ => return Err(Fault::Unknown),
        };
        let length = usize::from(take::<1>(&mut rest)?[0]);
        if rest.len() != length {
            return Err(Fault::Torn);
        }
        let task = std::str::from_utf8(rest).map_err(|_| Fault::Task)?;
        if task.is_empty() || length > MOST_TASK_BYTES {
            return Err(Fault::Task);
        }
        Ok(Message {
            task: task.to_owned(),
            ballot,
            body,
        })
    }
}

fn take<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], Fault> {
    let (head, tail) = rest.split_first_chunk::<N>().ok_or(Fault::Torn)?;
    *rest = tail;
    Ok(*head)
}

fn read_ballot(rest: &mut &[u8]) -> Result<Ballot, Fault> {
    Ok(Ballot {
        round: u64::from_be_bytes(take(rest)?),
        bidder: u32::from_be_bytes(take(rest)?),
        boot: u32::from_be_bytes(take(rest)?),
    })
}
