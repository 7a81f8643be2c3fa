//! Tests of the text encoding of messages.

use super::*;
use crate::{AttemptOutcome, Spool, Usage};

#[test]
fn messages_decode_as_encoded_and_the_largest_batch_fits() {
    let source = Source {
        name: "l".repeat(64),
        epoch: u64::MAX,
    };
    let largest = Usage {
        executed_milliunits: u64::MAX / 1_000_000,
        uncertain_milliunits: u64::MAX / 1_000_000,
        executed_attempts: u32::MAX,
    };
    let mut spool = Spool::new(source.clone());
    for customer in 0..40 {
        let started = spool.start_attempt(u64::MAX - customer, 1.0);
        spool.end_attempt(started.attempt, AttemptOutcome::Executed(1.0));
    }
    spool.cut_batch();
    let mut batch = spool
        .pending_batches()
        .next()
        .cloned()
        .expect("a batch was cut");
    batch.usage.values_mut().for_each(|usage| *usage = largest);
    for message in [
        Message::Fetch,
        Message::Acknowledge {
            epoch: 9,
            sequence: u64::MAX,
        },
        Message::Batch { source, batch },
    ] {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
        assert_eq!(Message::decode(&bytes), Ok(message));
        for end in 0..bytes.len().min(8) {
            assert!(Message::decode(&bytes[..end]).is_err());
        }
    }
}

#[test]
fn invalid_messages_are_rejected_with_their_reason() {
    for (bytes, error) in [
        (&b"have 1"[..], MessageError::InvalidFields),
        (b"have 1 2 3", MessageError::InvalidFields),
        (b"want 1", MessageError::InvalidFields),
        (b"batch  1 2", MessageError::InvalidFields),
        (b"batch a 1 x", MessageError::InvalidFields),
        (b"batch a 1 2 5", MessageError::InvalidFields),
        (b"offer 1", MessageError::UnknownKind),
        (b"\xff", MessageError::NotText),
        (&[b'x'; MAX_MESSAGE_BYTES + 1], MessageError::TooLong),
    ] {
        assert_eq!(Message::decode(bytes), Err(error));
    }
}
