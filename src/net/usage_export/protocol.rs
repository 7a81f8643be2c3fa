//! The handling of a message of the export.

use super::UsageRecorder;
use quartzcleat_usage_export::{Message, SinkRecord};

/// The effect of a message.
pub enum MessageEffect {
    /// This response is sent back.
    Respond(Message),
    /// The exporter writes this batch to the sink.
    Write(SinkRecord),
    /// Nothing.
    None,
}

/// Handles a message of the limiter with the name `sender`.
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
        // A limiter reports only its own usage.
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
