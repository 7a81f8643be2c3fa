//! Which commands are requests.

use super::request_parser::{parse_client_command, ClientCommand, CommandError};
use super::*;
use crate::net::config::{self, Limits};
use crate::net::resp::codec;
use quartzcleat_admin::ClassIndices;
use std::time::Duration;

/// What requests are checked against.
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

/// The wait of a request, or why it is refused.
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
        .expect("whole");
    match parse_client_command(&bytes, &command, &checked.catalog, true)? {
        ClientCommand::Request(request) => Ok(request.wait),
        _ => panic!("{verb} is for a host"),
    }
}

/// What no host could use is refused; every form that the protocol has is accepted.
#[test]
fn only_usable_requests_are_accepted() {
    let text = include_str!("../../../../examples/toy.json")
        .replace("\"balancers\": 1", "\"balancers\": 3");
    let checked = checked(&text);
    let (one, id) = ("00000001ffffffff", "9b1f03aa5c7e2d41");
    let check = "c=bed-check,t=guide,d=900,units=6,spread=3,first=2";
    let hold = "c=bed-hold,t=operator,d=900,k=5c0f6e1a2b3d4c59,r=1,units=0.25,spread=1,first=0";
    let ms = Duration::from_millis;
    assert_eq!(wait_of(&checked, "Q.ASK", one, id, check), Ok(ms(900)));
    assert_eq!(wait_of(&checked, "Q.DO", one, id, hold), Ok(ms(900)));
    // Nobody waits for longer than the class.
    assert_eq!(
        wait_of(&checked, "Q.DO", one, id, &hold.replace("900", "999999")),
        Ok(ms(4000))
    );
    for (verb, customer, id) in [
        ("Q.DO", one, id),
        ("Q.ASK", "0000000200000000", id),
        ("Q.ASK", "+000000000000007", id),
        ("Q.ASK", "", id),
        ("Q.ASK", one, ""),
        ("Q.ASK", one, "9b1f03aa5c7e2d4"),
    ] {
        assert!(
            wait_of(&checked, verb, customer, id, check).is_err(),
            "{verb} {customer} {id}"
        );
    }
    assert!(
        wait_of(&checked, "Q.ASK", one, id, hold).is_err(),
        "a keyed class is not safe to repeat"
    );
    assert!(wait_of(
        &checked,
        "Q.DO",
        one,
        id,
        &hold.replace(",k=5c0f6e1a2b3d4c59", "")
    )
    .is_err());
    for (from, to) in [
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
    ] {
        assert!(check.contains(from));
        assert!(
            wait_of(&checked, "Q.ASK", one, id, &check.replace(from, to)).is_err(),
            "{from} as {to}"
        );
    }
}
