//! Indices of names, and lists that are sound or malformed.

use super::*;

impl EndpointList {
    /// How many names have ids, how many ids are in use, and how many hosts are listed.
    pub(crate) fn counts(&self) -> (usize, usize, usize) {
        (self.ids.len(), self.ids_in_use.len(), self.endpoints.len())
    }
}

/// The same number for a name at every limiter, and never one for two names.
#[test]
fn hosts_keep_their_numbers_and_share_none() {
    let (mut one, mut two) = (
        EndpointList::new(vec![], vec![]),
        EndpointList::new(vec![], vec![]),
    );
    assert_eq!(one.host_id("s-5be2a07c"), two.host_id("s-5be2a07c"));
    let taken = two.host_id("s-1");
    let mut three = EndpointList::new(vec![], vec![]);
    three.ids_in_use.insert(taken);
    assert_eq!(three.host_id("s-1"), HostId(taken.0.wrapping_add(1)));
    assert_eq!(three.host_id("s-1"), HostId(taken.0.wrapping_add(1)));
}

#[test]
fn entries_are_read_and_faulty_ones_named() {
    let mut endpoints = EndpointList::new(vec!["a".into()], vec!["m1".into()]);
    let text = r#"{"generation":4,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:5",
        "zone":"b","machineType":"m1","cell":3,"lifecycle":"DRAINING","weight":1.5,"startedAtMs":1700000000000}]}"#;
    let list = endpoints
        .parse(&serde_json::from_str(text).expect("JSON"))
        .expect("a list");
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
    let problem = endpoints
        .parse(&serde_json::from_str(&faulty).expect("JSON"))
        .expect_err("a fault");
    assert!(
        problem.to_string().starts_with("instances: hostPort"),
        "{problem}"
    );
}
