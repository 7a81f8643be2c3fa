//! Messages between the exporter and the limiters whose spools it exports, and their text form.

use crate::record::{parse_batch, BatchText};
use crate::{Batch, Source};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The longest encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_100;

/// A message of the export.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The exporter asks a limiter for its first pending batch.
    Fetch,
    /// The limiter's first pending batch.
    Batch {
        /// The spool that it comes from.
        source: Source,
        /// The batch.
        batch: Batch,
    },
    /// The exporter has written a spool's batches up to a sequence number.
    Acknowledge {
        /// The spool's epoch.
        epoch: u64,
        /// The last sequence number written.
        sequence: u64,
    },
}

/// Why bytes do not decode to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The message is not UTF-8.
    #[error("not UTF-8")]
    NotText,
    /// This version does not know the kind.
    #[error("unknown message kind")]
    UnknownKind,
    /// The fields are not those of the kind.
    #[error("the fields are not those of the message kind")]
    InvalidFields,
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let text = match self {
            Message::Fetch => "want".to_owned(),
            Message::Acknowledge { epoch, sequence } => format!("have {epoch} {sequence}"),
            Message::Batch { source, batch } => {
                format!(
                    "batch {} {} {}",
                    source.name,
                    source.epoch,
                    BatchText(batch)
                )
            }
        };
        text.into_bytes()
    }

    /// Decodes what [`Message::encode`] wrote.
    ///
    /// # Errors
    /// Where the bytes are anything else.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| MessageError::NotText)?;
        let mut fields = text.split(' ');
        let message = match fields.next() {
            Some("want") => parse_fetch(fields),
            Some("have") => parse_acknowledge(fields),
            Some("batch") => parse_offered_batch(fields),
            _ => return Err(MessageError::UnknownKind),
        };
        message.ok_or(MessageError::InvalidFields)
    }
}

type Fields<'a> = std::str::Split<'a, char>;

fn parse_fetch(mut fields: Fields<'_>) -> Option<Message> {
    fields.next().is_none().then_some(Message::Fetch)
}

fn parse_acknowledge(mut fields: Fields<'_>) -> Option<Message> {
    let epoch = fields.next()?.parse().ok()?;
    let sequence = fields.next()?.parse().ok()?;
    fields
        .next()
        .is_none()
        .then_some(Message::Acknowledge { epoch, sequence })
}

fn parse_offered_batch(mut fields: Fields<'_>) -> Option<Message> {
    let name = fields.next().filter(|name| !name.is_empty())?.to_owned();
    let epoch = fields.next()?.parse().ok()?;
    Some(Message::Batch {
        source: Source { name, epoch },
        batch: parse_batch(fields)?,
    })
}
