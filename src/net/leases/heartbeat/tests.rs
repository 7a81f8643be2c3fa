//! Tests of the heartbeat's wire format, which targets of other projects implement.

use super::*;

fn token() -> FencingToken {
    FencingToken {
        round: 9,
        proposer: 2,
        incarnation: 3,
    }
}

#[test]
fn request_keeps_its_wire_format() {
    assert_eq!(to_request("beat", token(), 4), "ACT beat 9 2 3 4\n");
}

#[test]
fn responses_are_parsed_and_malformed_ones_are_rejected() {
    let stale = Response::Stale { highest: token() };
    for (line, response) in [
        ("OK\n", Some(Response::Ok)),
        ("OUTDATED 9 2 3\n", Some(stale)),
        ("OUTDATED 9 2\n", None),
        ("OUTDATED 9 2 x\n", None),
        ("OK 1\n", None),
        ("ERR no act\n", None),
        ("", None),
    ] {
        assert_eq!(Response::parse(line), response, "{line:?}");
    }
}
