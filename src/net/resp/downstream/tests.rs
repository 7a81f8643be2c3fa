//! Parsing of requests.

use super::command_error::CommandError;
use super::request_parser::{parse_client_command, ClientCommand};
use super::*;
use crate::net::config::{self, Limits};
use crate::net::resp::codec;
use quartzcleat_admin::ClassIndices;
use std::time::Duration;

/// The configuration that requests are checked against.
struct Checked {
    limits: Limits,
    catalog: RequestCatalog,
}

fn checked(text: &str) -> Checked {
    let config = config::parse(text, |_| None).expect("the configuration is sound");
    let indices = ClassIndices::new(&config.settings);
    Checked {
        catalog: RequestCatalog::new(&config.settings, &indices.accepted(0)),
        limits: config.limits,
    }
}

/// The wait of a request, or the error that it is refused with.
fn wait_of(
    checked: &Checked,
    verb: &str,
    customer: &str,
    id: &str,
    facts: &str,
) -> Result<Duration, CommandError> {
    let mut bytes = Vec::new();
    codec::write_command(&[verb, customer, id, facts].map(str::as_bytes), &mut bytes);
    let command = codec::parse_command(&bytes, &checked.limits)
        .expect("well-formed")
        .expect("complete");
    match parse_client_command(&bytes, &command, &checked.catalog)? {
        ClientCommand::Request(request) => Ok(request.wait),
        _ => panic!("{verb} is for a host"),
    }
}

const CUSTOMER: &str = "00000001ffffffff";
const ID: &str = "9b1f03aa5c7e2d41";
const CHECK: &str = "c=bed-check,t=guide,d=900,units=6,spread=3,first=2";
const HOLD: &str = "c=bed-hold,t=operator,d=900,k=5c0f6e1a2b3d4c59,r=1,units=0.25,spread=1,first=0";

/// Replacements in the facts of a sound request, each of which makes them unusable.
const UNUSABLE_FACTS: [(&str, &str); 22] = [
    ("c=bed-check,", ""),
    ("bed-check", "bed-chec"),
    ("t=guide,", ""),
    ("guide", "guides"),
    ("d=900,", ""),
    ("900", "0"),
    ("900", "soon"),
    ("900", "-1"),
    ("units=6,", ""),
    ("units=6", "units=0"),
    ("units=6", "units=-1"),
    ("units=6", "units=6.5"),
    ("units=6", "units=1e300"),
    ("units=6", "units=NaN"),
    ("units=6", "units=inf"),
    ("spread=3,", ""),
    ("spread=3", "spread=0"),
    ("spread=3", "spread=4"),
    (",first=2", ""),
    ("first=2", "first=3"),
    ("first=2", "first=-1"),
    ("spread=3,", "spread,"),
];

/// The example's configuration, for three limiters.
fn three_limiters() -> Checked {
    let text = include_str!("../../../../examples/toy.json");
    checked(&text.replace("\"balancers\": 1", "\"balancers\": 3"))
}

/// Every form of the protocol is accepted, and the wait is bounded by the deadline of the class.
#[test]
fn usable_requests_are_accepted() {
    let checked = three_limiters();
    let milliseconds = Duration::from_millis;
    let long_hold = HOLD.replace("900", "999999");
    for (verb, facts, wait) in [
        ("Q.ASK", CHECK, milliseconds(900)),
        ("Q.DO", HOLD, milliseconds(900)),
        ("Q.DO", &long_hold, milliseconds(4000)),
    ] {
        assert_eq!(wait_of(&checked, verb, CUSTOMER, ID, facts), Ok(wait));
    }
}

/// Requests that no host could use are refused.
#[test]
fn unusable_requests_are_refused() {
    let checked = three_limiters();
    for (verb, customer, id) in [
        ("Q.DO", CUSTOMER, ID),
        ("Q.ASK", "0000000200000000", ID),
        ("Q.ASK", "+000000000000007", ID),
        ("Q.ASK", "", ID),
        ("Q.ASK", CUSTOMER, ""),
        ("Q.ASK", CUSTOMER, "9b1f03aa5c7e2d4"),
    ] {
        assert!(
            wait_of(&checked, verb, customer, id, CHECK).is_err(),
            "{verb} {customer} {id}"
        );
    }
    assert!(
        wait_of(&checked, "Q.ASK", CUSTOMER, ID, HOLD).is_err(),
        "a keyed class is not safe to repeat"
    );
    let without_key = HOLD.replace(",k=5c0f6e1a2b3d4c59", "");
    assert!(wait_of(&checked, "Q.DO", CUSTOMER, ID, &without_key).is_err());
    for (from, to) in UNUSABLE_FACTS {
        assert!(CHECK.contains(from));
        let facts = CHECK.replace(from, to);
        assert!(
            wait_of(&checked, "Q.ASK", CUSTOMER, ID, &facts).is_err(),
            "{from} as {to}"
        );
    }
}
