//! Tests of parsing and formatting quantities.

use super::*;
use crate::tree::Place;

fn text(text: &str) -> Node {
    Node {
        place: Place::default(),
        content: Content::Text(text.to_owned()),
    }
}

#[test]
fn durations_need_a_unit() {
    for (written, nanos) in [
        ("250ms", 250_000_000),
        ("1.5 s", 1_500_000_000),
        ("1m 30s", 90_000_000_000),
    ] {
        assert_eq!(duration(&text(written)), Ok(nanos), "{written}");
    }
    for wrong in ["250", "fast", "5 parsecs", "-3s", ""] {
        assert!(duration(&text(wrong)).is_err(), "{wrong}");
    }
    let bare = Node {
        place: Place::default(),
        content: Content::Number(250.0),
    };
    assert!(duration(&bare)
        .expect_err("no unit")
        .to_string()
        .contains("250ms"));
}

#[test]
fn durations_are_displayed_as_they_are_read() {
    for nanos in [7, 1_500, 250_000_000, 1_500_000_000, 90_000_000_000] {
        assert_eq!(parse_duration(&format_duration(nanos)), Ok(nanos));
    }
}

#[test]
fn shares_lie_between_zero_and_one() {
    assert_eq!(share(&text("10%")), Ok(0.1));
    assert!(share(&text("130%")).is_err() && share(&text("some")).is_err());
}
