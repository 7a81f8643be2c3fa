//! Parsing of requests.

use super::command_error::CommandError;
use super::request_parser::{parse_client_command, ClientCommand};
use super::*;
use crate::net::config::{self, Limits};
use crate::net::resp::codec;
use quartzcleat_admin::ClassIndices;
use std::time::Duration;

/// The configuration against which requests are validated.
struct TestConfig {
    limits: Limits,
    catalog: RequestCatalog,
}

fn test_config(text: &str) -> TestConfig {
    let config = config::parse(text, |_| None).expect("the configuration is valid");
    let indices = ClassIndices::new(&config.settings);
    TestConfig {
        catalog: RequestCatalog::new(&config.settings, &indices.accepted(0)),
        limits: config.limits,
    }
}

/// Returns the wait of a request, or the error with which it is refused.
fn wait_of(
    config: &TestConfig,
    verb: &str,
    customer: &str,
    id: &str,
    parameters: &str,
) -> Result<Duration, CommandError> {
    let mut bytes = Vec::new();
    codec::write_command(
        &[verb, customer, id, parameters].map(str::as_bytes),
        &mut bytes,
    );
    let command = codec::parse_command(&bytes, &config.limits)
        .expect("well-formed")
        .expect("complete");
    match parse_client_command(&bytes, &command, &config.catalog)? {
        ClientCommand::Request(request) => Ok(request.wait),
        _ => panic!("{verb} was not parsed as a request"),
    }
}

const CUSTOMER: &str = "00000001ffffffff";
const ID: &str = "9b1f03aa5c7e2d41";
/// Parameters of a valid `Q.ASK` request.
const CHECK: &str = "c=bed-check,t=guide,d=900,units=6,spread=3,first=2";
/// Parameters of a valid `Q.DO` request.
const HOLD: &str = "c=bed-hold,t=operator,d=900,k=5c0f6e1a2b3d4c59,r=1,units=0.25,spread=1,first=0";

/// Replacements in the parameters of a valid request, each of which makes them unusable.
const UNUSABLE_PARAMETERS: [(&str, &str); 22] = [
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

/// Returns the example configuration, changed to three limiters.
fn three_limiters() -> TestConfig {
    let text = include_str!("../../../../examples/toy.json");
    test_config(&text.replace("\"balancers\": 1", "\"balancers\": 3"))
}

/// Reads and writes with all required parameters are accepted, and the wait is bounded by the deadline of the class.
#[test]
fn usable_requests_are_accepted() {
    let config = three_limiters();
    let milliseconds = Duration::from_millis;
    let long_hold = HOLD.replace("900", "999999");
    for (verb, parameters, wait) in [
        ("Q.ASK", CHECK, milliseconds(900)),
        ("Q.DO", HOLD, milliseconds(900)),
        ("Q.DO", &long_hold, milliseconds(4000)),
    ] {
        assert_eq!(wait_of(&config, verb, CUSTOMER, ID, parameters), Ok(wait));
    }
}

/// Requests that no host could use are refused.
#[test]
fn unusable_requests_are_refused() {
    let config = three_limiters();
    for (verb, customer, id) in [
        ("Q.DO", CUSTOMER, ID),
        ("Q.ASK", "0000000200000000", ID),
        ("Q.ASK", "+000000000000007", ID),
        ("Q.ASK", "", ID),
        ("Q.ASK", CUSTOMER, ""),
        ("Q.ASK", CUSTOMER, "9b1f03aa5c7e2d4"),
    ] {
        assert!(
            wait_of(&config, verb, customer, id, CHECK).is_err(),
            "{verb} {customer} {id}"
        );
    }
    assert!(
        wait_of(&config, "Q.ASK", CUSTOMER, ID, HOLD).is_err(),
        "a class that requires an idempotency key takes no Q.ASK"
    );
    let without_key = HOLD.replace(",k=5c0f6e1a2b3d4c59", "");
    assert!(wait_of(&config, "Q.DO", CUSTOMER, ID, &without_key).is_err());
    for (from, to) in UNUSABLE_PARAMETERS {
        assert!(CHECK.contains(from));
        let parameters = CHECK.replace(from, to);
        assert!(
            wait_of(&config, "Q.ASK", CUSTOMER, ID, &parameters).is_err(),
            "{from} as {to}"
        );
    }
}
