//! Values that are streamed.

use crate::limiter_setup;
use quartzcleat_test_support::commands::{request, send, served, CHECK_FACTS};
use quartzcleat_test_support::toy_platform::LONG_VALUE_BYTES;
use std::io::{Read, Write};
use std::net::TcpStream;

/// The length of the value that an answer announces.
fn announced_length(client: &mut TcpStream) -> usize {
    let (mut head, mut byte) = (String::new(), [0]);
    while !head.ends_with("\r\n") {
        client.read_exact(&mut byte).expect("a head");
        head.push(char::from(byte[0]));
    }
    head.trim_end()
        .strip_prefix('$')
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_else(|| panic!("{head}"))
}

/// Forty values of 4 MiB at once, to clients that take them slowly: all are whole, and the limiter never holds more
/// than a part of its 48 MB.
#[test]
fn long_values_are_streamed_within_a_small_memory() {
    let limiter = limiter_setup(25)
        .with_config(move |text| text.replace("\"memory_mb\": 192", "\"memory_mb\": 48"))
        .start();
    let facts = CHECK_FACTS.replace("units=1", "units=0.01");
    let mut clients: Vec<_> = (0..40)
        .map(|id| {
            let mut client = limiter.connect();
            client
                .write_all(request("Q.ASK", id, &facts, "long").as_bytes())
                .expect("the limiter reads");
            // All have begun before any is taken further.
            assert_eq!(announced_length(&mut client), LONG_VALUE_BYTES);
            (id, client)
        })
        .collect();
    for (id, client) in &mut clients {
        let mut value = vec![0; LONG_VALUE_BYTES + 2];
        client.read_exact(&mut value).expect("the value is whole");
        let expected: Vec<_> = format!("{id:016x}")
            .bytes()
            .cycle()
            .take(LONG_VALUE_BYTES)
            .collect();
        assert!(value[..LONG_VALUE_BYTES] == expected && value.ends_with(b"\r\n"));
    }
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", limiter.child.id())).expect("it runs");
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("a peak");
    println!("highest resident size: {}", peak.trim());
    let kb: u64 = peak
        .split_whitespace()
        .next()
        .and_then(|text| text.parse().ok())
        .expect("a size");
    assert!(kb < 32 << 10, "{kb} kB");
    // The last one: the first has been idle for as long as the others took, which on a busy machine is too long.
    assert_eq!(
        send(&mut clients[39].1, &request("Q.ASK", 99, &facts, ""), 1),
        served(99)
    );
}

/// What is shorter or longer than it says never looks whole to its client.
#[test]
fn malformed_long_value_ends_before_its_announced_length() {
    let limiter = limiter_setup(26).start();
    for (id, body) in [(1, "short"), (2, "over")] {
        let mut client = limiter.connect();
        client
            .write_all(request("Q.ASK", id, CHECK_FACTS, body).as_bytes())
            .expect("the limiter reads");
        let length = announced_length(&mut client);
        let mut value = Vec::new();
        client.read_to_end(&mut value).unwrap_or_default();
        assert!(
            !value.is_empty() && value.len() < length,
            "{body}: {} of {length}",
            value.len()
        );
    }
}
