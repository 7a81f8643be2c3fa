//! What limiters tell each other: datagrams in one envelope, to fixed addresses from our own file. Off without one.
//! Knows no subsystem: who uses it is told by the kind.

use quartzcleat_lease::{open, seal, Dropped, Key};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::SystemTime;
use tokio::net::UdpSocket;

/// Messages of leases.
pub const LEASES: u8 = 1;
/// Messages of the export of use.
pub const USE: u8 = 2;
/// The longest datagram read; a longer one is torn.
const MOST: usize = 1_200;
/// Sequences of each sender that are remembered, so that a datagram that comes twice is taken once.
const REMEMBERED: usize = 64;

/// What was dropped, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedCount {
    /// Torn, or with a message that is.
    pub torn: u64,
    /// Of a version that is not read.
    pub version: u64,
    /// Not made with the key, or from nobody that is known.
    pub stranger: u64,
    /// Come before.
    pub twice: u64,
}

/// The one socket to other limiters.
pub struct Peers {
    socket: UdpSocket,
    key: Key,
    me: u32,
    addresses: Vec<SocketAddr>,
    sequence: Cell<u64>,
    heard: RefCell<BTreeMap<u32, VecDeque<u64>>>,
    dropped: Cell<DroppedCount>,
}

impl Peers {
    /// Listens at the own one of the addresses.
    ///
    /// # Errors
    /// Where that cannot be.
    pub async fn listen(key: Key, me: u32, addresses: Vec<SocketAddr>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addresses[me as usize]).await?;
        // Greater than in the process before this one, as far as the clock goes on.
        let sequence = SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(0, |age| age.as_micros() as u64);
        Ok(Peers {
            socket,
            key,
            me,
            addresses,
            sequence: Cell::new(sequence),
            heard: RefCell::default(),
            dropped: Cell::default(),
        })
    }

    /// Sends a message, as far as the socket takes it: what is lost is asked again by who needs it.
    pub fn tell(&self, to: u32, kind: u8, message: &[u8]) {
        let Some(address) = self.addresses.get(to as usize) else {
            return;
        };
        self.sequence.set(self.sequence.get() + 1);
        let _ = self.socket.try_send_to(
            &seal(&self.key, kind, self.me, self.sequence.get(), message),
            *address,
        );
    }

    /// Waits for the next message: its kind, sender and bytes. Guards against what is torn, strange, of an unknown
    /// version or has come before: it is counted and dropped.
    pub async fn next(&self) -> (u8, u32, Vec<u8>) {
        let mut bytes = [0; MOST];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut bytes).await else {
                continue;
            };
            let opened = open(&self.key, &bytes[..length]);
            match opened {
                Ok((kind, sender, sequence, message))
                    if (sender as usize) < self.addresses.len() =>
                {
                    if self.first(sender, sequence) {
                        return (kind, sender, message.to_vec());
                    }
                }
                Ok(_) | Err(Dropped::Stranger) => self.drop(|count| count.stranger += 1),
                Err(Dropped::Torn) => self.drop(|count| count.torn += 1),
                Err(Dropped::Version) => self.drop(|count| count.version += 1),
            }
        }
    }

    /// Counts what was dropped.
    pub fn drop(&self, which: impl FnOnce(&mut DroppedCount)) {
        let mut count = self.dropped.get();
        which(&mut count);
        self.dropped.set(count);
        tracing::debug!(?count, "a message between limiters was dropped");
    }

    fn first(&self, sender: u32, sequence: u64) -> bool {
        let mut heard = self.heard.borrow_mut();
        let last = heard.entry(sender).or_default();
        let known = last.contains(&sequence);
        if known {
            self.drop(|count| count.twice += 1);
        } else {
            last.truncate(REMEMBERED - 1);
            last.push_front(sequence);
        }
        !known
    }
}
