//! Messages between proposers and acceptors, and their encoding.

use crate::Nanos;
use thiserror::Error;

/// The maximum length of an encoded message, in bytes; a longer datagram is dropped without being decoded.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// The maximum length of a task's name, in bytes.
const MAX_TASK_BYTES: usize = 64;

const KIND_PREPARE: u8 = 1;
const KIND_PROMISE: u8 = 2;
const KIND_REJECT: u8 = 3;
const KIND_PROPOSE: u8 = 4;
const KIND_ACCEPTED: u8 = 5;
const KIND_RELEASE: u8 = 6;

/// A ballot number, ordered by round first, so that a proposer can always choose a greater one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// The round, greater than any that the proposer has seen.
    pub round: u64,
    /// The proposer's index among all limiters.
    pub proposer: u32,
    /// The incarnation of the proposer's process, which distinguishes responses to this process from responses to an
    /// earlier one.
    pub incarnation: u32,
}

impl Ballot {
    /// Returns whether both ballots belong to the same process of the same proposer.
    pub fn has_same_owner(self, other: Ballot) -> bool {
        self.proposer == other.proposer && self.incarnation == other.incarnation
    }
}

/// The token that a lease holder's operations carry: the ballot that acquired the lease. Renewals do not change it, and
/// every later holder has a greater one.
pub type FencingToken = Ballot;

/// The kind of a message and its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Body {
    /// The proposer asks an acceptor to reject lower ballots from now on.
    Prepare,
    /// The acceptor promises to do so, and holds no valid proposal of another proposer.
    Promise,
    /// The acceptor rejects a prepare or propose message.
    Reject {
        /// The greatest ballot that the acceptor has promised.
        promised: Ballot,
        /// The remaining validity of another proposer's accepted proposal, on the acceptor's clock; 0 if there is none.
        remaining: Nanos,
    },
    /// The proposer, which has promises from a majority, asks an acceptor to accept its proposal.
    Propose,
    /// The acceptor has accepted the proposal.
    Accepted,
    /// The holder has stopped using its lease; the acceptor may accept another proposal at once.
    Release,
}

/// A message about the lease of one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The name of the task, 1 to 64 bytes of UTF-8.
    pub task: String,
    /// The ballot of the proposer; a response repeats the ballot of its request.
    pub ballot: Ballot,
    /// The kind of the message, with the fields of that kind.
    pub body: Body,
}

/// The reason why bytes do not decode to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum MessageError {
    /// The message is truncated, or further bytes follow it.
    #[error("message length does not match its fields")]
    LengthMismatch,
    /// This version does not support the message kind.
    #[error("unknown message kind")]
    UnknownKind,
    /// The task's name is empty, too long or not UTF-8.
    #[error("task name is not 1 to {MAX_TASK_BYTES} bytes of UTF-8")]
    InvalidTask,
}

impl Message {
    /// Appends the encoded message to `bytes`: kind, ballot, the fields of the kind, and the length and name of the
    /// task. Integers are big-endian.
    pub fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.push(self.body.kind());
        encode_ballot(&self.ballot, bytes);
        if let Body::Reject {
            promised,
            remaining,
        } = &self.body
        {
            encode_ballot(promised, bytes);
            bytes.extend(remaining.to_be_bytes());
        }
        bytes.push(self.task.len().min(MAX_TASK_BYTES) as u8);
        bytes.extend(self.task.bytes().take(MAX_TASK_BYTES));
    }

    /// Decodes a message that [`Message::encode`] has encoded.
    ///
    /// # Errors
    /// A [`MessageError`] if the bytes are not exactly one encoded message.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        let mut decoder = Decoder { remaining: bytes };
        let kind = decoder.byte()?;
        let ballot = decoder.ballot()?;
        let body = decoder.body(kind)?;
        let task = decoder.task()?;
        Ok(Message { task, ballot, body })
    }
}

impl Body {
    fn kind(&self) -> u8 {
        match self {
            Body::Prepare => KIND_PREPARE,
            Body::Promise => KIND_PROMISE,
            Body::Reject { .. } => KIND_REJECT,
            Body::Propose => KIND_PROPOSE,
            Body::Accepted => KIND_ACCEPTED,
            Body::Release => KIND_RELEASE,
        }
    }
}

fn encode_ballot(ballot: &Ballot, bytes: &mut Vec<u8>) {
    bytes.extend(ballot.round.to_be_bytes());
    bytes.extend(ballot.proposer.to_be_bytes());
    bytes.extend(ballot.incarnation.to_be_bytes());
}

/// A decoder over the bytes of a message that have not been decoded yet.
struct Decoder<'a> {
    remaining: &'a [u8],
}

impl Decoder<'_> {
    fn array<const N: usize>(&mut self) -> Result<[u8; N], MessageError> {
        let (array, remaining) = self
            .remaining
            .split_first_chunk::<N>()
            .ok_or(MessageError::LengthMismatch)?;
        self.remaining = remaining;
        Ok(*array)
    }

    fn byte(&mut self) -> Result<u8, MessageError> {
        Ok(self.array::<1>()?[0])
    }

    fn ballot(&mut self) -> Result<Ballot, MessageError> {
        Ok(Ballot {
            round: u64::from_be_bytes(self.array()?),
            proposer: u32::from_be_bytes(self.array()?),
            incarnation: u32::from_be_bytes(self.array()?),
        })
    }

    fn body(&mut self, kind: u8) -> Result<Body, MessageError> {
        match kind {
            KIND_PREPARE => Ok(Body::Prepare),
            KIND_PROMISE => Ok(Body::Promise),
            KIND_REJECT => Ok(Body::Reject {
                promised: self.ballot()?,
                remaining: Nanos::from_be_bytes(self.array()?),
            }),
            KIND_PROPOSE => Ok(Body::Propose),
            KIND_ACCEPTED => Ok(Body::Accepted),
            KIND_RELEASE => Ok(Body::Release),
            _ => Err(MessageError::UnknownKind),
        }
    }

    /// Decodes the task's name, which must extend to the end of the message.
    fn task(&mut self) -> Result<String, MessageError> {
        let length = usize::from(self.byte()?);
        if self.remaining.len() != length {
            return Err(MessageError::LengthMismatch);
        }
        let task = std::str::from_utf8(self.remaining).map_err(|_| MessageError::InvalidTask)?;
        if task.is_empty() || length > MAX_TASK_BYTES {
            return Err(MessageError::InvalidTask);
        }
        Ok(task.to_owned())
    }
}
