//! The envelope of what limiters tell each other: version, kind, sender, sequence, length and a keyed check. A
//! stranger's, torn or repeated message changes nothing.

use thiserror::Error;

/// The version written. One version back and one forward are read; others are refused and counted.
pub const VERSION: u8 = 1;
const HEAD: usize = 1 + 1 + 4 + 8 + 2;
const CHECK: usize = 16;

/// A key that all limiters share, from a file.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// A key from the bytes of a file, however many.
    pub fn new(secret: &[u8]) -> Self {
        Key(blake3::derive_key(
            "quartzcleat between limiters v1",
            secret,
        ))
    }
}

/// Why an envelope was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Error)]
pub enum Dropped {
    /// Shorter than it says, or longer.
    #[error("torn")]
    Torn,
    /// Neither this version nor a neighbour of it.
    #[error("of an unknown version")]
    Version,
    /// Not made with the key.
    #[error("of a stranger")]
    Stranger,
}

fn check(key: &Key, bytes: &[u8]) -> [u8; CHECK] {
    let mut check = [0; CHECK];
    check.copy_from_slice(&blake3::keyed_hash(&key.0, bytes).as_bytes()[..CHECK]);
    check
}

/// Seals a message: `kind` tells what it holds, `sequence` is greater than in any sent before.
pub fn seal(key: &Key, kind: u8, sender: u32, sequence: u64, message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + message.len() + CHECK);
    bytes.extend([VERSION, kind]);
    bytes.extend(sender.to_be_bytes());
    bytes.extend(sequence.to_be_bytes());
    bytes.extend((message.len() as u16).to_be_bytes());
    bytes.extend(message);
    let check = check(key, &bytes);
    bytes.extend(check);
    bytes
}

/// Opens an envelope: kind, sender, sequence and message.
///
/// # Errors
/// Why it is to be dropped.
pub fn open<'a>(key: &Key, bytes: &'a [u8]) -> Result<(u8, u32, u64, &'a [u8]), Dropped> {
    let (sealed, told) = bytes.split_last_chunk::<CHECK>().ok_or(Dropped::Torn)?;
    let (head, message) = sealed.split_first_chunk::<HEAD>().ok_or(Dropped::Torn)?;
    if head[0].abs_diff(VERSION) > 1 {
        return Err(Dropped::Version);
    }
    let length = usize::from(u16::from_be_bytes([head[14], head[15]]));
    if message.len() != length {
        return Err(Dropped::Torn);
    }
    // Compared as hashes are, in constant time.
    let (mut told32, mut own32) = ([0; 32], [0; 32]);
    told32[..CHECK].copy_from_slice(told);
    own32[..CHECK].copy_from_slice(&check(key, sealed));
    if blake3::Hash::from(told32) != blake3::Hash::from(own32) {
        return Err(Dropped::Stranger);
    }
    let (mut sender, mut sequence) = ([0; 4], [0; 8]);
    sender.copy_from_slice(&head[2..6]);
    sequence.copy_from_slice(&head[6..14]);
    Ok((
        head[1],
        u32::from_be_bytes(sender),
        u64::from_be_bytes(sequence),
        message,
    ))
}
