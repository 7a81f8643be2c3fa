//! Tests with states that are valid, truncated, of another version or of another limiter.

use super::*;
use crate::FORMAT_VERSION;

const LIMITER: LimiterIdentity<'static> = LimiterIdentity {
    name: "n1",
    listen: "a",
};

fn state() -> SharedState {
    let order = MaintenanceOrder {
        is_disabled: true,
        disabled_at: 3,
        ordered_at: 4,
    };
    SharedState {
        version: FORMAT_VERSION,
        name: "n1".into(),
        listen: "a".into(),
        maintenance: [("s".to_owned(), order)].into(),
        ..SharedState::default()
    }
}

#[test]
fn only_a_complete_state_of_the_own_limiter_is_read() {
    let state = state();
    let text = state.to_text();
    let read = |text: &str, limiter| SharedState::from_text(text, limiter);
    assert_eq!(read(&text, LIMITER).expect("valid"), state);
    let other_name = LimiterIdentity {
        name: "n2",
        ..LIMITER
    };
    let other_address = LimiterIdentity {
        listen: "b",
        ..LIMITER
    };
    assert!(read(&text, other_name).is_err() && read(&text, other_address).is_err());
    for end in 0..text.len() {
        assert!(read(&text[..end], LIMITER).is_err(), "cut at {end}");
    }
    let newer = SharedState {
        version: FORMAT_VERSION + 1,
        ..state
    };
    assert!(read(&newer.to_text(), LIMITER).is_err());
}

/// The previous version of the program reads these keys while a new version takes over.
#[test]
fn stored_keys_are_unchanged() {
    assert_eq!(
        state().to_text(),
        r#"{"version":1,"name":"n1","listen":"a","born":0,"serving":false,"drain":{"on":false,"at":0},"words":{"s":{"out":true,"began":3,"at":4}},"listed":[]}"#
    );
}
