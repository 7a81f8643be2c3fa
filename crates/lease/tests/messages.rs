//! Messages and envelopes: what was written is read, and whatever else comes is dropped for a stated reason.

use proptest::prelude::*;
use quartzcleat_lease::*;

fn ballots() -> impl Strategy<Value = Ballot> {
    (any::<u64>(), any::<u32>(), any::<u32>()).prop_map(|(round, bidder, boot)| Ballot {
        round,
        bidder,
        boot,
    })
}

fn messages() -> impl Strategy<Value = Message> {
    let body = prop_oneof![
        Just(Body::Prepare),
        Just(Body::Free),
        (ballots(), any::<u64>()).prop_map(|(promised, left)| Body::Refused { promised, left }),
        Just(Body::Propose),
        Just(Body::Voted),
        Just(Body::GivenUp),
    ];
    ("[a-z-]{1,64}", ballots(), body).prop_map(|(task, ballot, body)| Message {
        task,
        ballot,
        body,
    })
}

fn bytes(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.write(&mut bytes);
    bytes
}

proptest! {
    #[test]
    fn what_is_written_is_read_again_and_is_short(message in messages()) {
        let bytes = bytes(&message);
        prop_assert!(bytes.len() <= MOST_BYTES);
        prop_assert_eq!(Message::read(&bytes), Ok(message));
    }

    #[test]
    fn any_bytes_are_a_message_that_writes_as_they_stand_or_a_fault(noise in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = Message::read(&noise) {
            prop_assert_eq!(bytes(&message), noise);
        }
    }

    #[test]
    fn an_envelope_with_one_changed_byte_or_cut_short_is_dropped(
        message in messages(), at in any::<prop::sample::Index>(), change in 1u8..,
    ) {
        let key = Key::new(b"shared");
        let written = bytes(&message);
        let sealed = seal(&key, 1, 7, 9, &written);
        prop_assert_eq!(open(&key, &sealed), Ok((1, 7, 9, written.as_slice())));
        let mut changed = sealed.clone();
        changed[at.index(sealed.len())] ^= change;
        prop_assert!(open(&key, &changed).is_err());
        prop_assert!(open(&key, &sealed[..at.index(sealed.len())]).is_err());
        prop_assert_eq!(open(&Key::new(b"other"), &sealed), Err(Dropped::Stranger));
    }
}

#[test]
fn a_neighbouring_version_is_read_on_and_a_far_one_is_named() {
    let key = Key::new(b"shared");
    let mut sealed = seal(&key, 1, 7, 9, b"");
    sealed[0] = VERSION + 2;
    assert_eq!(open(&key, &sealed), Err(Dropped::Version));
}
