//! Property tests of the codecs: encoded messages and envelopes decode to the same values, and other bytes are
//! rejected.

use proptest::prelude::*;
use quartzcleat_lease::*;

fn ballots() -> impl Strategy<Value = Ballot> {
    (any::<u64>(), any::<u32>(), any::<u32>()).prop_map(|(round, proposer, incarnation)| Ballot {
        round,
        proposer,
        incarnation,
    })
}

fn messages() -> impl Strategy<Value = Message> {
    let body = prop_oneof![
        Just(Body::Prepare),
        Just(Body::Promise),
        (ballots(), any::<u64>()).prop_map(|(promised, remaining)| Body::Reject {
            promised,
            remaining
        }),
        Just(Body::Propose),
        Just(Body::Accepted),
        Just(Body::Release),
    ];
    ("[a-z-]{1,64}", ballots(), body).prop_map(|(task, ballot, body)| Message {
        task,
        ballot,
        body,
    })
}

fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    bytes
}

fn envelope(payload: &[u8]) -> Envelope<'_> {
    Envelope {
        kind: 1,
        sender: 7,
        sequence: 9,
        payload,
    }
}

proptest! {
    #[test]
    fn message_decodes_as_encoded_within_the_size_limit(message in messages()) {
        let bytes = encoded(&message);
        prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        prop_assert_eq!(Message::decode(&bytes), Ok(message));
    }

    #[test]
    fn decoding_fails_or_returns_a_message_that_encodes_to_the_same_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(encoded(&message), bytes);
        }
    }

    #[test]
    fn envelope_that_is_changed_truncated_or_of_another_key_is_rejected(
        message in messages(), at in any::<prop::sample::Index>(), change in 1u8..,
    ) {
        let key = SharedKey::new(b"shared");
        let payload = encoded(&message);
        let sealed = seal(&key, &envelope(&payload));
        prop_assert_eq!(open(&key, &sealed), Ok(envelope(&payload)));
        let mut changed = sealed.clone();
        changed[at.index(sealed.len())] ^= change;
        prop_assert!(open(&key, &changed).is_err());
        prop_assert!(open(&key, &sealed[..at.index(sealed.len())]).is_err());
        prop_assert_eq!(open(&SharedKey::new(b"other"), &sealed), Err(EnvelopeError::Unauthenticated));
    }
}

#[test]
fn envelope_two_versions_ahead_is_rejected() {
    let key = SharedKey::new(b"shared");
    let mut sealed = seal(&key, &envelope(b""));
    sealed[0] = VERSION + 2;
    assert_eq!(open(&key, &sealed), Err(EnvelopeError::UnsupportedVersion));
}
