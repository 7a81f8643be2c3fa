//! Tests of values that are streamed.

use crate::limiter_setup;
use quartzcleat_test_support::commands::{
    request, send, served, CHEAP_FACTS, CHECK_FACTS, HOLD_FACTS, PING,
};
use quartzcleat_test_support::config::replace;
use quartzcleat_test_support::limiter::{terminate, Limiter};
use quartzcleat_test_support::long_values::{announced_length, long_value};
use quartzcleat_test_support::process::peak_resident_kibibytes;
use quartzcleat_test_support::toy_platform::LONG_VALUE_BYTES;
use quartzcleat_test_support::toy_platform::SLOW_VALUE_TIME;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time after SIGTERM from which the process waits for nothing but responses in progress, with the deadlines of
/// [`limiter_with_short_deadlines`].
const EXIT_TIMEOUT: Duration = Duration::from_millis(3_600);
/// Time without a byte after which a host's value has failed.
const HOST_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Forty values of 4 MiB each are streamed at once; all have begun before the first is read to its end. All arrive
/// complete, the limiter's resident set stays below 32 MiB of its 48 MB, and the connections remain usable.
#[test]
fn long_values_are_streamed_within_a_small_memory() {
    let limiter = limiter_setup(25)
        .with_config(|text| replace(text, "\"memory_mb\": 192", "\"memory_mb\": 48"))
        .start();
    let mut clients: Vec<TcpStream> = (0..40)
        .map(|id| {
            let mut client = limiter.connect();
            client
                .write_all(request("Q.ASK", id, CHEAP_FACTS, "long").as_bytes())
                .expect("the limiter reads");
            assert_eq!(announced_length(&mut client), LONG_VALUE_BYTES);
            client
        })
        .collect();
    for (id, client) in (0..).zip(&mut clients) {
        let mut value = vec![0; LONG_VALUE_BYTES + 2];
        client
            .read_exact(&mut value)
            .expect("the value is complete");
        assert!(value == long_value(id), "value of request {id}");
    }
    let peak = peak_resident_kibibytes(limiter.child.id());
    println!("highest resident size: {peak} kB");
    assert!(peak < 32 << 10, "{peak} kB");
    // The connection that was read last: the first has been idle while the others were read, and on a busy machine it
    // may have been closed by its idle timeout.
    let answer = send(&mut clients[39], &request("Q.ASK", 99, CHEAP_FACTS, ""), 1);
    assert_eq!(answer, served(99));
}

/// Requests behind a long value were lost when its host broke off within the value (incident
/// requests-behind-a-cut-value).
#[test]
fn requests_behind_a_value_whose_host_breaks_off_are_answered() {
    let limiter = limiter_setup(27).start();
    let mut client = limiter.connect();
    let commands = [
        request("Q.ASK", 1, CHEAP_FACTS, "half"),
        request("Q.DO", 2, HOLD_FACTS, ""),
        request("Q.ASK", 3, CHEAP_FACTS, ""),
        PING.to_owned(),
    ];
    let first = send(&mut client, &commands.concat(), 1);
    // Every attempt of the first request is cut off.
    assert!(first.starts_with('-'), "{first}");
    for id in [2, 3] {
        let answer = send(&mut client, "", 1);
        // The only host has just failed, so that the limiter may reject further requests.
        let is_rejected = answer.starts_with("-BUSY ");
        assert!(answer == served(id) || is_rejected, "{id}: {answer}");
    }
    assert_eq!(send(&mut client, "", 1), "+PONG\r\n");
    let answer = send(&mut client, PING, 1);
    assert_eq!(answer, "+PONG\r\n", "the connection stays usable");
}

/// A long value before other commands is held until it is complete, and passed on unchanged.
#[test]
fn long_value_before_other_commands_arrives_complete() {
    let limiter = limiter_setup(28).start();
    let mut client = limiter.connect();
    let commands = request("Q.ASK", 1, CHEAP_FACTS, "long") + &request("Q.ASK", 2, CHEAP_FACTS, "");
    client
        .write_all(commands.as_bytes())
        .expect("the limiter reads");
    assert_eq!(announced_length(&mut client), LONG_VALUE_BYTES);
    let mut value = vec![0; LONG_VALUE_BYTES + 2];
    client
        .read_exact(&mut value)
        .expect("the value is complete");
    assert!(value == long_value(1));
    assert_eq!(send(&mut client, "", 1), served(2));
}

/// A value that is shorter or longer than its head announces must never look complete to the client.
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

/// Starts a limiter whose requests end 1.5 s after their arrival.
fn limiter_with_short_deadlines(number: u8) -> Limiter {
    limiter_setup(number)
        .with_config(|text| {
            let text = replace(
                text,
                "\"hardLimitNs\": 7500000000",
                "\"hardLimitNs\": 1500000000",
            );
            replace(
                &text,
                "\"hardLimitNs\": 4000000000",
                "\"hardLimitNs\": 1500000000",
            )
        })
        .start()
}

/// Requests a value that takes longer than a shutdown, and reads its head.
fn begin_value(limiter: &Limiter, id: u64, body: &str) -> TcpStream {
    assert!(SLOW_VALUE_TIME > EXIT_TIMEOUT + Duration::from_secs(2));
    let mut client = limiter.connect();
    let command = request("Q.ASK", id, CHEAP_FACTS, body);
    client
        .write_all(command.as_bytes())
        .expect("the limiter reads");
    assert_eq!(announced_length(&mut client), LONG_VALUE_BYTES);
    client
}

fn check_value(mut client: TcpStream, id: u64) {
    let mut value = vec![0; LONG_VALUE_BYTES + 2];
    let read = client.read_exact(&mut value);
    read.expect("the value is complete");
    assert!(value == long_value(id));
}

/// A shutdown ended by the clock, and cut values that hosts were still sending (incident values-cut-by-a-shutdown).
#[test]
fn shutdown_waits_for_a_value_that_its_host_is_still_sending() {
    let mut limiter = limiter_with_short_deadlines(29);
    let client = begin_value(&limiter, 1, "slow");
    terminate(&limiter.child);
    check_value(client, 1);
    assert!(limiter.child.wait().expect("the limiter ends").success());
}

/// The same for a process that a new version replaces.
#[test]
fn replaced_process_waits_for_a_value_that_its_host_is_still_sending() {
    let mut limiter = limiter_with_short_deadlines(30);
    let client = begin_value(&limiter, 1, "slow");
    let mut replaced = limiter.upgrade(2);
    terminate(&replaced);
    check_value(client, 1);
    assert!(replaced.wait().expect("the process ends").success());
    assert_eq!(
        limiter.answer(&request("Q.ASK", 2, CHEAP_FACTS, "")),
        served(2)
    );
}

/// A host that sends no more does not keep the process from its end.
#[test]
fn shutdown_does_not_wait_longer_than_a_host_may_stall() {
    let mut limiter = limiter_with_short_deadlines(31);
    let mut client = begin_value(&limiter, 1, "stalled");
    let began = Instant::now();
    terminate(&limiter.child);
    let mut value = Vec::new();
    client.read_to_end(&mut value).expect("the connection ends");
    assert!(value.len() < LONG_VALUE_BYTES);
    assert!(limiter.child.wait().expect("the limiter ends").success());
    let elapsed = began.elapsed();
    assert!(
        elapsed < HOST_STALL_TIMEOUT + Duration::from_secs(3),
        "after {elapsed:?}"
    );
}
