//! The envelope of datagrams between limiters: version, kind, sender, sequence number, length and a keyed check.
//!
//! A datagram that is truncated, forged or of an unsupported version does not open.

use thiserror::Error;

/// The version that is written. Datagrams of the version before and of the next one are read too.
pub const VERSION: u8 = 1;

const MAX_VERSION_DISTANCE: u8 = 1;
const HEADER_BYTES: usize = 1 + 1 + 4 + 8 + 2;
const CHECK_BYTES: usize = 16;
/// The context of the key derivation. Changing it makes all limiters of other versions strangers.
const KEY_CONTEXT: &str = "quartzcleat between limiters v1";

/// The secret key that all limiters share.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl SharedKey {
    /// Derives the key from a secret of any length.
    pub fn new(secret: &[u8]) -> Self {
        SharedKey(blake3::derive_key(KEY_CONTEXT, secret))
    }

    fn check(&self, bytes: &[u8]) -> [u8; CHECK_BYTES] {
        let mut check = [0; CHECK_BYTES];
        check.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..CHECK_BYTES]);
        check
    }
}

/// A payload with its sender and order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// Which subsystem's message the payload is.
    pub kind: u8,
    /// The sender's index among all limiters.
    pub sender: u32,
    /// The sequence number, greater than in every datagram that this sender sent before.
    pub sequence: u64,
    /// The message.
    pub payload: &'a [u8],
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Error)]
pub enum EnvelopeError {
    /// The datagram's length differs from the one in its header.
    #[error("the length is not the one in the header")]
    LengthMismatch,
    /// The version is neither this one nor a neighbour of it.
    #[error("unsupported version")]
    UnsupportedVersion,
    /// The check was not made with the shared key.
    #[error("not authenticated by the shared key")]
    Unauthenticated,
}

/// Encodes an envelope and signs it with the key. Integers are big-endian.
pub fn seal(key: &SharedKey, envelope: &Envelope<'_>) -> Vec<u8> {
    let payload = envelope.payload;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len() + CHECK_BYTES);
    bytes.extend([VERSION, envelope.kind]);
    bytes.extend(envelope.sender.to_be_bytes());
    bytes.extend(envelope.sequence.to_be_bytes());
    bytes.extend((payload.len() as u16).to_be_bytes());
    bytes.extend(payload);
    let check = key.check(&bytes);
    bytes.extend(check);
    bytes
}

/// Verifies and decodes an envelope.
///
/// # Errors
/// Where the datagram is to be dropped; the variant says why.
pub fn open<'a>(key: &SharedKey, bytes: &'a [u8]) -> Result<Envelope<'a>, EnvelopeError> {
    let (signed, check) = bytes
        .split_last_chunk::<CHECK_BYTES>()
        .ok_or(EnvelopeError::LengthMismatch)?;
    let (header, payload) = signed
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or(EnvelopeError::LengthMismatch)?;
    if header[0].abs_diff(VERSION) > MAX_VERSION_DISTANCE {
        return Err(EnvelopeError::UnsupportedVersion);
    }
    let length = usize::from(u16::from_be_bytes([header[14], header[15]]));
    if payload.len() != length {
        return Err(EnvelopeError::LengthMismatch);
    }
    if !equal_in_constant_time(*check, key.check(signed)) {
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

/// Compares two checks as `blake3` compares hashes, so that the time taken does not show how many bytes agree.
fn equal_in_constant_time(left: [u8; CHECK_BYTES], right: [u8; CHECK_BYTES]) -> bool {
    let padded = |check: [u8; CHECK_BYTES]| {
        let mut hash = [0; 32];
        hash[..CHECK_BYTES].copy_from_slice(&check);
        blake3::Hash::from(hash)
    };
    padded(left) == padded(right)
}
