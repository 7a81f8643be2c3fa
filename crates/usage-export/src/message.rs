//! What exporter and sources tell each other, in words.

use crate::line::{put_batch, take_batch};
use crate::{Batch, Source};
use thiserror::Error;

/// The longest message in bytes.
pub const MOST_BYTES: usize = 1_100;

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The exporter asks a limiter for the first batch that it holds.
    Want,
    /// That batch.
    Batch {
        /// Whose.
        source: Source,
        /// The batch.
        batch: Batch,
    },
    /// The exporter has written a spool's batches up to a number.
    Have {
        /// The spool.
        epoch: u64,
        /// The number.
        number: u64,
    },
}

/// The bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("neither a want, a batch nor a have")]
pub struct Fault;

impl Message {
    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        match self {
            Message::Want => "want".to_owned(),
            Message::Have { epoch, number } => format!("have {epoch} {number}"),
            Message::Batch { source, batch } => {
                let mut text = format!("batch {} {} ", source.name, source.epoch);
                put_batch(batch, &mut text);
                text
            }
        }
        .into_bytes()
    }

    /// Reads what [`Message::write`] wrote.
    ///
    /// # Errors
    /// Where the bytes are anything else.
    pub fn read(bytes: &[u8]) -> Result<Message, Fault> {
        let text = std::str::from_utf8(bytes)
            .ok()
            .filter(|_| bytes.len() <= MOST_BYTES)
            .ok_or(Fault)?;
        let mut words = text.split(' ');
        let kind = words.next().ok_or(Fault)?;
        let number = |words: &mut std::str::Split<'_, char>| words.next()?.parse().ok();
        let message = match kind {
            "want" if words.next().is_none() => Message::Want,
            "have" => {
                let (Some(epoch), Some(number), None) =
                    (number(&mut words), number(&mut words), words.next())
                else {
                    return Err(Fault);
                };
                Message::Have { epoch, number }
            }
            "batch" => {
                let name = words
                    .next()
                    .filter(|name| !name.is_empty())
                    .ok_or(Fault)?
                    .to_owned();
                let epoch = number(&mut words).ok_or(Fault)?;
                Message::Batch {
                    source: Source { name, epoch },
                    batch: take_batch(words).ok_or(Fault)?,
                }
            }
            _ => return Err(Fault),
        };
        Ok(message)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Spool, Use};

    #[test]
    fn messages_read_as_written_and_the_fullest_batch_fits() {
        let source = Source {
            name: "l".repeat(64),
            epoch: u64::MAX,
        };
        let most = Use {
            ran: u64::MAX / 1_000_000,
            unknown: u64::MAX / 1_000_000,
            runs: u32::MAX,
        };
        let (mut spool, _) = Spool::new(source.clone());
        for customer in 0..40 {
            let (attempt, _) = spool.begin(u64::MAX - customer, 1.0);
            spool.end(attempt, crate::Fate::Ran(1.0));
        }
        spool.cut();
        let mut batch = spool.held().next().cloned().expect("it was cut");
        batch.sums.values_mut().for_each(|used| *used = most);
        for message in [
            Message::Want,
            Message::Have {
                epoch: 9,
                number: u64::MAX,
            },
            Message::Batch { source, batch },
        ] {
            let bytes = message.write();
            assert!(bytes.len() <= MOST_BYTES, "{} bytes", bytes.len());
            assert_eq!(Message::read(&bytes), Ok(message));
            for end in 0..bytes.len().min(8) {
                assert_eq!(Message::read(&bytes[..end]), Err(Fault));
            }
        }
        for bytes in [
            &b"have 1"[..],
            b"have 1 2 3",
            b"want 1",
            b"batch  1 2",
            b"batch a 1 x",
            b"batch a 1 2 5",
            b"\xff",
        ] {
            assert_eq!(Message::read(bytes), Err(Fault));
        }
    }
}
