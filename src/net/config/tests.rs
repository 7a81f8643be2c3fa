//! Tests of limits that depend on each other, of the precedence between file and environment, and of error messages.

use super::*;
use std::time::Duration;

fn limits_of_example(from: &str, to: &str) -> Limits {
    let text = include_str!("../../../examples/toy.json").replace(from, to);
    parse(&text, |_| None).expect("the example is valid").limits
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("valid JSON")
}

/// A counter that hangs holds at most 32 connections, including those that the limiter has closed. The connections
/// made during its longest outage, 12 s, must not exceed that.
#[test]
fn hanging_counter_gets_no_more_connections_than_it_holds() {
    let limits = limits_of_example("", "");
    let reconnects = Duration::from_secs(12)
        .div_duration_f64(limits.counter.silence_timeout + limits.reconnect_pause)
        .ceil();
    assert!(
        (reconnects + 1.0) * limits.counter.connections as f64 <= 32.0,
        "{reconnects} reconnects"
    );
}

/// All connections together leave at least six descriptors for files and signals.
#[test]
fn all_connections_fit_the_socket_limit() {
    for sockets in [128, 1024, 4096] {
        let limits = limits_of_example("1024", &sockets.to_string());
        let downstream =
            limits.downstream.max_connections + limits.downstream.max_connections / 16 + 1;
        let all = downstream
            + limits.upstream.max_connections
            + 2
            + limits.counter.connections
            + limits.admin.max_connections
            + 1;
        assert!(all + 6 < sockets, "{all} of {sockets}");
    }
}

/// Returns the shutdown limits of the example with these class deadlines, in milliseconds; 0 stands for none.
fn shutdown_limits(deadlines: [u64; 2]) -> ShutdownLimits {
    let text = include_str!("../../../examples/toy.json")
        .replace("7500000000", &(deadlines[0] * 1_000_000).to_string())
        .replace(
            "\"hardLimitNs\": 4000000000",
            &format!("\"hardLimitNs\": {}", deadlines[1] * 1_000_000),
        );
    let config = parse(&text, |_| None).expect("the example is valid");
    config.limits.shutdown
}

/// The platform sends SIGKILL no sooner than the longest deadline, counted as 3 s at most, and 0.7 s after SIGTERM.
/// Requests taken late in a shutdown were lost when the process expected SIGKILL later: incident late-shutdown-answers.
#[test]
fn requests_are_answered_between_the_drain_delay_and_the_earliest_sigkill() {
    for (deadlines, earliest_kill) in [
        ([7_500, 4_000], 3_700),
        ([3_000, 1_000], 3_700),
        ([2_500, 1_000], 3_200),
        ([200, 1_000], 1_700),
        ([20, 10], 720),
        ([0, 1_000], 3_700),
    ] {
        let limits = shutdown_limits(deadlines);
        let answer_timeout = limits.answer_timeout.get();
        let earliest_kill = Duration::from_millis(earliest_kill);
        assert!(
            answer_timeout < earliest_kill,
            "{deadlines:?}: {answer_timeout:?}"
        );
        assert!(
            answer_timeout >= limits.drain_delay,
            "{deadlines:?}: {answer_timeout:?}"
        );
        assert!(limits.exit_timeout.get() > answer_timeout, "{deadlines:?}");
    }
}

/// At the start the environment takes precedence over the file; on a reload the addresses of services in the file take
/// precedence over the environment.
#[test]
fn replacement_file_takes_precedence_over_environment() {
    let text = include_str!("../../../examples/toy.json");
    let in_environment = "127.0.0.9:9";
    let variable = |name: &str| {
        name.starts_with("BALANCER_")
            .then(|| in_environment.to_owned())
    };
    let old = parse(text, variable).expect("valid");
    let new = parse_replacement(&json(text), text, variable).expect("valid");
    let address = |text: &str| text.parse().expect("a valid address");
    let discovery = address(in_environment);
    let counter = Some(address(in_environment));
    assert_eq!(old.addresses, Addresses { discovery, counter });
    let discovery = address("127.0.0.1:7001");
    let counter = Some(address("127.0.0.1:7002"));
    assert_eq!(new.addresses, Addresses { discovery, counter });
    assert_eq!(
        new.listen,
        address(in_environment),
        "the environment keeps precedence for all other keys"
    );
    let without_discovery = text.replace("\"discovery\"", "\"elsewhere\"");
    assert_eq!(
        parse_replacement(&json(&without_discovery), &without_discovery, variable)
            .expect("valid")
            .addresses
            .discovery,
        address(in_environment)
    );
    assert!(parse_replacement(&json(text), "{", variable).is_err());
}

/// Replacements in the example, as old and new text, and the resulting error messages.
const INVALID_EXAMPLES: [(&str, &str, &str); 10] = [
    ("\"listen\":", "\"listener\":", "listen: missing"),
    (
        "\"counter\": \"127.0.0.1:7002\"",
        "\"counter\": \"nowhere\"",
        "counter: \"nowhere\" is not an address with a port",
    ),
    (
        "\"sockets\": 1024",
        "\"sockets\": 1.5",
        "limits.sockets: 1.5 is not a non-negative integer",
    ),
    (
        "\"sockets\": 1024",
        "\"sockets\": 127",
        "limits.sockets: 127 is too few; at least 128 are needed",
    ),
    (
        "\"seed\": \"",
        "\"seed\": \"x",
        "seed: \"x8c1f30d27a5be964\" is not a hexadecimal number of up to 64 bits",
    ),
    (
        "\"8c1f30d27a5be964\"",
        "7",
        "seed: 7 is not a string of hexadecimal digits",
    ),
    ("\"settings\":", "\"setting\":", "settings: missing"),
    (
        "\"zones\": [\"a\"]",
        "\"zones\": [1]",
        "settings.zones: 1 is not a string",
    ),
    (
        "\"kinds\": [\"toy\"]",
        "\"kinds\": \"a\"",
        "settings.kinds: \"a\" is not an array of strings",
    ),
    (
        "\"connIdleNs\": 30000000000",
        "\"connIdleNs\": \"long\"",
        "settings.limits.connIdleNs: \"long\" is not an integer of nanoseconds",
    ),
];

#[test]
fn errors_name_the_key_and_the_value() {
    let example = include_str!("../../../examples/toy.json");
    for (from, to, message) in INVALID_EXAMPLES {
        let text = example.replacen(from, to, 1);
        assert_ne!(text, example, "{from}");
        let error = parse(&text, |_| None).expect_err(to);
        assert_eq!(error.to_string(), message);
    }
}
