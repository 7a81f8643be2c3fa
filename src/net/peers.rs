//! Datagrams between limiters: one UDP socket, one envelope, fixed addresses from our own configuration file.
//!
//! It knows no subsystem beyond the kind of its datagrams. Without a section `lease` no socket is opened.

use super::unix_time;
use quartzcleat_lease::{open, seal, Envelope, EnvelopeError, SharedKey};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

#[cfg(test)]
mod tests;

/// The longest datagram that is read; a longer one is truncated and dropped.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// How many sequence numbers of each sender are remembered to recognize repeated datagrams.
const REMEMBERED_SEQUENCES: usize = 64;

/// Sequence numbers start at the Unix time in microseconds.
const NANOS_PER_MICROSECOND: u64 = 1_000;

const LEASE_KIND: u8 = 1;
const USAGE_EXPORT_KIND: u8 = 2;

/// The subsystem that a datagram belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Messages between proposers and acceptors.
    Lease,
    /// Messages between the usage exporter and the spools.
    UsageExport,
    /// A kind of another version.
    Unknown(u8),
}

impl DatagramKind {
    fn from_wire(kind: u8) -> Self {
        match kind {
            LEASE_KIND => DatagramKind::Lease,
            USAGE_EXPORT_KIND => DatagramKind::UsageExport,
            other => DatagramKind::Unknown(other),
        }
    }

    fn to_wire(self) -> u8 {
        match self {
            DatagramKind::Lease => LEASE_KIND,
            DatagramKind::UsageExport => USAGE_EXPORT_KIND,
            DatagramKind::Unknown(other) => other,
        }
    }
}

/// A datagram that was authenticated and is not a repetition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The subsystem that it belongs to.
    pub kind: DatagramKind,
    /// The sender's index among all limiters.
    pub sender: u32,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its length, its kind or its message is invalid.
    Malformed,
    /// Its version is not supported.
    UnsupportedVersion,
    /// It was not made with the shared key, or its sender may not send it.
    Unauthorized,
    /// It was received before.
    Repeated,
}

impl From<EnvelopeError> for DropReason {
    fn from(error: EnvelopeError) -> Self {
        match error {
            EnvelopeError::LengthMismatch => DropReason::Malformed,
            EnvelopeError::UnsupportedVersion => DropReason::UnsupportedVersion,
            EnvelopeError::Unauthenticated => DropReason::Unauthorized,
        }
    }
}

/// How many datagrams were dropped for each reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DropCounts {
    malformed: u64,
    unsupported_version: u64,
    unauthorized: u64,
    repeated: u64,
}

impl DropCounts {
    fn increment(&mut self, reason: DropReason) {
        let count = match reason {
            DropReason::Malformed => &mut self.malformed,
            DropReason::UnsupportedVersion => &mut self.unsupported_version,
            DropReason::Unauthorized => &mut self.unauthorized,
            DropReason::Repeated => &mut self.repeated,
        };
        *count += 1;
    }
}

/// The socket to the other limiters.
pub struct Peers {
    socket: UdpSocket,
    key: SharedKey,
    node_id: u32,
    addresses: Vec<SocketAddr>,
    last_sequence: Cell<u64>,
    /// The latest sequence numbers of each sender, the newest first.
    received_sequences: RefCell<BTreeMap<u32, VecDeque<u64>>>,
    drop_counts: Cell<DropCounts>,
}

impl Peers {
    /// Binds the address of this limiter, which is the one at `node_id`.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn bind(
        key: SharedKey,
        node_id: u32,
        addresses: Vec<SocketAddr>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addresses[node_id as usize]).await?;
        // Greater than any of the previous process, provided that the system's clock was not set back.
        let first_sequence = unix_time::now() / NANOS_PER_MICROSECOND;
        Ok(Peers {
            socket,
            key,
            node_id,
            addresses,
            last_sequence: Cell::new(first_sequence),
            received_sequences: RefCell::default(),
            drop_counts: Cell::default(),
        })
    }

    /// The index of this limiter.
    pub fn node_id(&self) -> u32 {
        self.node_id
    }

    /// How many limiters there are, this one included.
    pub fn limiter_count(&self) -> u32 {
        self.addresses.len() as u32
    }

    /// Sends a message to a limiter.
    pub fn send(&self, recipient: u32, kind: DatagramKind, payload: &[u8]) {
        let Some(address) = self.addresses.get(recipient as usize) else {
            return;
        };
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        let envelope = Envelope {
            kind: kind.to_wire(),
            sender: self.node_id,
            sequence,
            payload,
        };
        // A datagram may be lost anywhere on its way; both protocols repeat the messages that they need an answer to.
        let _ = self
            .socket
            .try_send_to(&seal(&self.key, &envelope), *address);
    }

    /// Waits for the next valid datagram. Others are counted and dropped.
    pub async fn receive(&self) -> Datagram {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            match self.verify(&buffer[..length]) {
                Ok(datagram) => return datagram,
                Err(reason) => self.count_drop(reason),
            }
        }
    }

    /// Counts a datagram that was dropped.
    pub fn count_drop(&self, reason: DropReason) {
        let mut counts = self.drop_counts.get();
        counts.increment(reason);
        self.drop_counts.set(counts);
        tracing::debug!(?reason, ?counts, "peer datagram dropped");
    }

    fn verify(&self, bytes: &[u8]) -> Result<Datagram, DropReason> {
        let envelope = open(&self.key, bytes)?;
        if envelope.sender as usize >= self.addresses.len() {
            return Err(DropReason::Unauthorized);
        }
        self.record_sequence(envelope.sender, envelope.sequence)?;
        Ok(Datagram {
            kind: DatagramKind::from_wire(envelope.kind),
            sender: envelope.sender,
            payload: envelope.payload.to_vec(),
        })
    }

    /// Records a sequence number.
    ///
    /// # Errors
    /// It was received before.
    fn record_sequence(&self, sender: u32, sequence: u64) -> Result<(), DropReason> {
        let mut received = self.received_sequences.borrow_mut();
        let latest = received.entry(sender).or_default();
        if latest.contains(&sequence) {
            return Err(DropReason::Repeated);
        }
        latest.truncate(REMEMBERED_SEQUENCES - 1);
        latest.push_front(sequence);
        Ok(())
    }
}
