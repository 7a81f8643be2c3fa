//! Tests with handoffs that are valid, truncated, of another version or of another limiter.

use super::*;
use quartzcleat_decision::{HostSnapshot, LatencyScoreSnapshot};

const LIMITER: LimiterIdentity<'static> = LimiterIdentity {
    name: "n1",
    listen: "a",
};

#[test]
fn only_a_complete_handoff_of_the_own_limiter_is_read() {
    let host = HostSnapshot {
        host: 7,
        started: 3,
        latency: LatencyScoreSnapshot {
            score: 1.25,
            sample_weight: 4.0,
            measured_at: 9,
        },
        concurrency_limit: 2.5,
    };
    let learned = EngineSnapshot {
        at: 9,
        hosts: vec![host],
        ..EngineSnapshot::default()
    };
    let list = serde_json::json!({"generation": 4});
    let handoff = Handoff::new(LIMITER, vec!["z".into()], list, learned);
    let text = handoff.to_text();
    let read = |text: &str, limiter| Handoff::from_text(text, limiter);
    assert_eq!(read(&text, LIMITER).expect("valid"), handoff);
    let other_name = LimiterIdentity {
        name: "n2",
        ..LIMITER
    };
    let other_address = LimiterIdentity {
        listen: "b",
        ..LIMITER
    };
    assert!(read(&text, other_name).is_err() && read(&text, other_address).is_err());
    let newer = text.replace("\"version\":1", "\"version\":2");
    assert!(read(&newer, LIMITER).is_err());
    for end in 0..text.len() {
        assert!(read(&text[..end], LIMITER).is_err(), "cut at {end}");
    }
}
