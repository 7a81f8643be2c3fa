//! Tests of well-formed and malformed lists.

use super::*;
use crate::api::ZoneId;

#[test]
fn list_is_parsed_and_errors_name_the_malformed_key() {
    let mut names = EndpointNames::new(vec!["a".into()], vec!["m1".into()]);
    let text = r#"{"generation":4,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:5",
        "zone":"b","machineType":"m1","cell":3,"lifecycle":"DRAINING","weight":1.5,"startedAtMs":1700000000000}]}"#;
    let json = serde_json::from_str(text).expect("JSON");
    let list = ReceivedList::parse(&json, &mut names).expect("a list");
    let entry = &list.endpoints[0].entry;
    assert_eq!(
        (
            list.version,
            list.is_full,
            entry.state,
            entry.zone,
            entry.kind
        ),
        (4, false, HostState::Draining, ZoneId(1), 0)
    );
    assert_eq!(
        (entry.cell, entry.started, entry.weight),
        (CellId(3), 1_700_000_000_000_000_000, 1.5)
    );
    let faulty = text.replace("127.0.0.1:5", "nowhere");
    let json = serde_json::from_str(&faulty).expect("JSON");
    let problem = ReceivedList::parse(&json, &mut names).expect_err("a fault");
    assert!(
        problem.to_string().starts_with("instances: hostPort"),
        "{problem}"
    );
}
