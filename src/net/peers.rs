//! Authenticated datagrams between limiters, over one UDP socket and between fixed addresses from the product
//! configuration.
//!
//! This module distinguishes subsystems only by the kind of a datagram. Without a section `lease` in the configuration
//! no socket is opened.

use super::unix_time;
use quartzcleat_lease::{open, seal, Envelope, EnvelopeError, SharedKey};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

#[cfg(test)]
mod tests;

/// Size of the receive buffer. A longer datagram is truncated and dropped.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Number of sequence numbers remembered per sender to detect repeated datagrams.
const REMEMBERED_SEQUENCES: usize = 64;

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
    /// A kind that this version does not know.
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

/// An authenticated datagram that was not received before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The subsystem that it belongs to.
    pub kind: DatagramKind,
    /// Index of the sender among all limiters.
    pub sender: u32,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// The reason why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its length, its kind or its message is invalid.
    Malformed,
    /// Its version is not supported.
    UnsupportedVersion,
    /// It was not sealed with the shared key, or its sender is unknown or may not send it.
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

/// Numbers of dropped datagrams by reason.
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

/// The socket that connects this limiter with the others.
pub struct Peers {
    socket: UdpSocket,
    key: SharedKey,
    /// Index of this limiter in `addresses`.
    node_id: u32,
    /// Addresses of all limiters, this one included.
    addresses: Vec<SocketAddr>,
    /// Sequence number of the last datagram that was sent.
    last_sequence: Cell<u64>,
    /// Up to [`REMEMBERED_SEQUENCES`] sequence numbers by sender, the last received first.
    received_sequences: RefCell<BTreeMap<u32, VecDeque<u64>>>,
    drop_counts: Cell<DropCounts>,
}

impl Peers {
    /// Binds the socket to this limiter's address, which is the one at index `node_id`.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be bound.
    pub async fn bind(
        key: SharedKey,
        node_id: u32,
        addresses: Vec<SocketAddr>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addresses[node_id as usize]).await?;
        // The Unix time in microseconds is greater than any sequence number of the previous process, unless the system
        // clock was set back.
        let initial_sequence = unix_time::now() / NANOS_PER_MICROSECOND;
        Ok(Peers {
            socket,
            key,
            node_id,
            addresses,
            last_sequence: Cell::new(initial_sequence),
            received_sequences: RefCell::default(),
            drop_counts: Cell::default(),
        })
    }

    /// Returns the index of this limiter among all limiters.
    pub fn node_id(&self) -> u32 {
        self.node_id
    }

    /// Returns the number of limiters, including this one.
    pub fn limiter_count(&self) -> u32 {
        self.addresses.len() as u32
    }

    /// Sends a datagram to a limiter, without any guarantee of delivery. Does nothing if the recipient is unknown.
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
        // Datagrams may be lost anyway; both protocols repeat the messages that need a response.
        let _ = self
            .socket
            .try_send_to(&seal(&self.key, &envelope), *address);
    }

    /// Waits for the next valid datagram. Invalid ones are counted and dropped.
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

    /// Records the sequence number of a received datagram.
    ///
    /// # Errors
    /// Returns [`DropReason::Repeated`] if it is among the remembered ones.
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
