//! Files that an earlier version (d36acc0) stored are read by the present one; see README.md beside this file.

mod usage;

use quartzcleat_test_support::commands::{request, send, served, CHECK_FACTS};
use quartzcleat_test_support::limiter::LimiterSetup;
use std::time::{Duration, Instant};

/// A limiter of this build.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

const STATE: &str = include_str!("data/state.json");

/// A host that an earlier process's state file puts into maintenance gets no request until it is enabled.
#[test]
fn maintenance_in_a_stored_state_file_holds() {
    let limiter = limiter_setup(203).start();
    let mut client = limiter.connect();
    assert_eq!(
        send(&mut client, &request("Q.ASK", 1, CHECK_FACTS, ""), 1),
        served(1)
    );
    let state = STATE.replace("LISTEN", &limiter.address.to_string());
    let draft = limiter.folder.join("draft");
    std::fs::write(&draft, state).expect("the file is written");
    std::fs::rename(&draft, limiter.folder.join("quartzcleat-1-1.json"))
        .expect("the file gets its name");
    let since = Instant::now();
    let rejected = (2..1 << 40).any(|id| {
        assert!(
            since.elapsed() < Duration::from_secs(10),
            "the state file is not read"
        );
        let few = CHECK_FACTS.replace("units=1", "units=0.01");
        !send(&mut client, &request("Q.ASK", id, &few, ""), 1).starts_with('$')
    });
    assert!(rejected);
    assert_eq!(
        limiter.call_admin("PUT", "/servers/enable", r#"{"host":"toy-0"}"#),
        200
    );
    // A host that is back is warming up, so not every request is given to it; one of the first soon is.
    let served_again = (1 << 40..1 << 41).any(|id| {
        assert!(
            since.elapsed() < Duration::from_secs(10),
            "the host is not used again"
        );
        let few = CHECK_FACTS.replace("units=1", "units=0.01");
        send(&mut limiter.connect(), &request("Q.ASK", id, &few, ""), 1).starts_with('$')
    });
    assert!(served_again);
}

/// A host of the configuration's snapshot is known, though discovery no longer lists it.
#[test]
fn hosts_of_the_configured_snapshot_are_known() {
    let empty = r#"{ "generation": 1, "reset": true, "instances": [] }"#;
    let limiter = limiter_setup(204)
        .with_config(move |text| text.replace(empty, include_str!("data/known.json").trim()))
        .start();
    assert_eq!(
        limiter.call_admin("PUT", "/servers/disable", r#"{"host":"toy-9"}"#),
        200
    );
    assert_eq!(
        limiter.call_admin("PUT", "/servers/disable", r#"{"host":"toy-8"}"#),
        404
    );
}
