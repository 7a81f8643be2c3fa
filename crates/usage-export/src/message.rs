//! Messages between the exporter and the limiters whose spools it exports, and their text encoding.

use crate::record::{parse_batch, BatchText};
use crate::{Batch, Source};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The maximum length of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_100;

/// A message between the exporter and a limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The exporter asks a limiter for its first pending batch.
    Fetch,
    /// A limiter responds with its first pending batch.
    Batch {
        /// The spool that the batch comes from.
        source: Source,
        /// The first batch that is not known to be in the sink.
        batch: Batch,
    },
    /// The exporter confirms that the sink has a spool's batches up to a sequence number.
    Acknowledge {
        /// The epoch of the spool, see [`Source::epoch`].
        epoch: u64,
        /// The last sequence number in the sink.
        sequence: u64,
    },
}

/// The reason why bytes do not decode to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The message is not UTF-8.
    #[error("message is not valid UTF-8")]
    NotText,
    /// This version does not support the message kind.
    #[error("unknown message kind")]
    UnknownKind,
    /// The fields are missing, malformed or too many for the message kind.
    #[error("invalid fields for the message kind")]
    InvalidFields,
}

impl Message {
    /// Encodes the message as its kind and fields in UTF-8, separated by spaces.
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

    /// Decodes a message that [`Message::encode`] has encoded.
    ///
    /// # Errors
    /// A [`MessageError`] if the bytes are not a valid message.
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
