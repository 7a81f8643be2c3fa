//! Handling of the usage export's messages.

use super::UsageRecorder;
use quartzcleat_usage_export::{Message, SinkRecord};

/// The action that a handled message requires.
pub enum MessageEffect {
    /// Send this response to the sender.
    Respond(Message),
    /// Write this batch to the sink.
    Write(SinkRecord),
    /// No action.
    None,
}

/// Handles a message from the limiter named `sender` and returns the required action.
pub fn handle_message(
    usage_recorder: &UsageRecorder,
    sender: &str,
    message: Message,
) -> MessageEffect {
    match message {
        Message::Fetch => match usage_recorder.first_pending_batch() {
            Some(SinkRecord { source, batch }) => {
                MessageEffect::Respond(Message::Batch { source, batch })
            }
            None => MessageEffect::None,
        },
        // A limiter may report only its own usage; a batch of another source is ignored.
        Message::Batch { source, batch } if source.name == sender => {
            MessageEffect::Write(SinkRecord { source, batch })
        }
        Message::Batch { .. } => MessageEffect::None,
        Message::Acknowledge { epoch, sequence } => {
            usage_recorder.acknowledge(epoch, sequence);
            MessageEffect::None
        }
    }
}
