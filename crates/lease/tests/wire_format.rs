//! The wire format of lease messages and envelopes, which must stay compatible with other versions of the limiter.

use quartzcleat_lease::*;

const BALLOT: Ballot = Ballot {
    round: 0x0102_0304_0506_0708,
    proposer: 0x1112_1314,
    incarnation: 0x2122_2324,
};
const PROMISED: Ballot = Ballot {
    round: 9,
    proposer: 2,
    incarnation: 3,
};
const BALLOT_HEX: &str = "01020304050607081112131421222324";
const TASK_HEX: &str = "0462656174";

fn to_hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    digits
        .filter_map(|digit| char::from_digit(u32::from(digit), 16))
        .collect()
}

/// Layout: kind, ballot, fields of the kind, length of the task's name, task's name.
#[test]
fn encoding_of_each_message_kind_is_stable() {
    let rejection_hex = "00000000000000090000000200000003000000003b9aca00";
    for (kind, body, fields_hex) in [
        ("01", Body::Prepare, ""),
        ("02", Body::Promise, ""),
        (
            "03",
            Body::Reject {
                promised: PROMISED,
                remaining: 1_000_000_000,
            },
            rejection_hex,
        ),
        ("04", Body::Propose, ""),
        ("05", Body::Accepted, ""),
        ("06", Body::Release, ""),
    ] {
        let message = Message {
            task: "beat".into(),
            ballot: BALLOT,
            body,
        };
        let mut bytes = Vec::new();
        message.encode(&mut bytes);
        assert_eq!(
            to_hex(&bytes),
            format!("{kind}{BALLOT_HEX}{fields_hex}{TASK_HEX}")
        );
        assert_eq!(Message::decode(&bytes), Ok(message));
    }
}

/// Layout: version, kind, sender, sequence number, length, payload, and the first 16 bytes of the keyed hash.
#[test]
fn encoding_of_an_envelope_is_stable() {
    let key = SharedKey::new(b"shared");
    let envelope = Envelope {
        kind: 2,
        sender: 7,
        sequence: 9,
        payload: b"want",
    };
    let bytes = seal(&key, &envelope);
    assert_eq!(
        to_hex(&bytes),
        "0102000000070000000000000009000477616e74724c81d4baaae965e16d71c95e7cfae7"
    );
    assert_eq!(open(&key, &bytes), Ok(envelope));
}
