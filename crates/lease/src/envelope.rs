//! The envelope of datagrams between limiters: version, kind, sender, sequence number, length, payload and message
//! authentication code (MAC).
//!
//! [`open`] rejects a datagram that is truncated, forged or of an unsupported version.

use thiserror::Error;

/// The version of the envelopes that this process writes. It also reads the previous version and the next one.
pub const VERSION: u8 = 1;

const MAX_VERSION_DISTANCE: u8 = 1;
const HEADER_BYTES: usize = 1 + 1 + 4 + 8 + 2;
const MAC_BYTES: usize = 16;
/// The context of the key derivation. Limiters with different contexts reject each other's datagrams.
const KEY_CONTEXT: &str = "quartzcleat between limiters v1";

/// The secret key that all limiters share, with which datagrams are authenticated.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl SharedKey {
    /// Derives the key from a secret of any length.
    pub fn new(secret: &[u8]) -> Self {
        SharedKey(blake3::derive_key(KEY_CONTEXT, secret))
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..MAC_BYTES]);
        mac
    }
}

/// A payload with its kind, sender and sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The subsystem whose message the payload is.
    pub kind: u8,
    /// The sender's index among all limiters.
    pub sender: u32,
    /// The sequence number, greater than that of every earlier datagram of this sender.
    pub sequence: u64,
    /// The encoded message of the subsystem.
    pub payload: &'a [u8],
}

/// The reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Error)]
pub enum EnvelopeError {
    /// The datagram's length differs from the one in its header.
    #[error("datagram length does not match its header")]
    LengthMismatch,
    /// The version differs from [`VERSION`] by more than 1.
    #[error("unsupported envelope version")]
    UnsupportedVersion,
    /// The MAC was not computed with the shared key.
    #[error("datagram is not authenticated with the shared key")]
    Unauthenticated,
}

/// Encodes an envelope and appends its MAC. Integers are big-endian.
pub fn seal(key: &SharedKey, envelope: &Envelope<'_>) -> Vec<u8> {
    let payload = envelope.payload;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len() + MAC_BYTES);
    bytes.extend([VERSION, envelope.kind]);
    bytes.extend(envelope.sender.to_be_bytes());
    bytes.extend(envelope.sequence.to_be_bytes());
    bytes.extend((payload.len() as u16).to_be_bytes());
    bytes.extend(payload);
    let mac = key.mac(&bytes);
    bytes.extend(mac);
    bytes
}

/// Verifies the MAC of a datagram and decodes its envelope.
///
/// # Errors
/// An [`EnvelopeError`] that states why the datagram is to be dropped.
pub fn open<'a>(key: &SharedKey, bytes: &'a [u8]) -> Result<Envelope<'a>, EnvelopeError> {
    let (authenticated, mac) = bytes
        .split_last_chunk::<MAC_BYTES>()
        .ok_or(EnvelopeError::LengthMismatch)?;
    let (header, payload) = authenticated
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or(EnvelopeError::LengthMismatch)?;
    if header[0].abs_diff(VERSION) > MAX_VERSION_DISTANCE {
        return Err(EnvelopeError::UnsupportedVersion);
    }
    let length = usize::from(u16::from_be_bytes([header[14], header[15]]));
    if payload.len() != length {
        return Err(EnvelopeError::LengthMismatch);
    }
    if !equal_in_constant_time(*mac, key.mac(authenticated)) {
        return Err(EnvelopeError::Unauthenticated);
    }
    let mut sender = [0; 4];
    sender.copy_from_slice(&header[2..6]);
    let mut sequence = [0; 8];
    sequence.copy_from_slice(&header[6..14]);
    Ok(Envelope {
        kind: header[1],
        sender: u32::from_be_bytes(sender),
        sequence: u64::from_be_bytes(sequence),
        payload,
    })
}

/// Returns whether two MACs are equal. The comparison of [`blake3::Hash`] takes constant time, so that the time taken
/// does not reveal how many bytes agree.
fn equal_in_constant_time(left: [u8; MAC_BYTES], right: [u8; MAC_BYTES]) -> bool {
    let padded = |mac: [u8; MAC_BYTES]| {
        let mut hash = [0; 32];
        hash[..MAC_BYTES].copy_from_slice(&mac);
        blake3::Hash::from(hash)
    };
    padded(left) == padded(right)
}
