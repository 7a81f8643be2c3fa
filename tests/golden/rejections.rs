//! The errors that clients get for sound requests: `-ERR draining`, `-BUSY` and `-ERR failed`.

use crate::assert_golden;
use crate::process::{ask, request, start, Limiter, CHECK, HOLD};
use std::net::TcpStream;

const PING: &str = "*1\r\n$4\r\nPING\r\n";
const TOY: &str = r#"{"host":"toy-0"}"#;

/// Sends commands in one write, and returns what was sent with the answers.
fn exchange(client: &mut TcpStream, commands: &str, answers: usize) -> String {
    let received = ask(client, commands, answers);
    format!(
        "> {}\n< {}\n",
        commands.escape_debug(),
        received.escape_debug()
    )
}

/// A limiter that lets a single request be in progress.
fn start_with_one_open_request(number: u8, change: impl Fn(String) -> String) -> Limiter {
    start(number, false, |text| {
        change(text.replace("\"openCap\": 20000", "\"openCap\": 1"))
    })
}

/// The first of them gets no answer of its host, so that the second one finds it in progress.
fn two_requests() -> String {
    request("Q.DO", 1, HOLD, "silent") + &request("Q.ASK", 2, CHECK, "")
}

#[test]
fn a_draining_limiter_answers_pings_with_an_error() {
    let limiter = start(221, false, |text| text);
    let mut client = limiter.connect();
    assert_eq!(limiter.call("PUT", "/drain", ""), 200);
    let commands = PING.to_owned() + &request("Q.ASK", 1, CHECK, "") + PING;
    let mut transcript = exchange(&mut client, &commands, 3);
    assert_eq!(limiter.call("PUT", "/undrain", ""), 200);
    transcript += &exchange(&mut limiter.connect(), PING, 1);
    assert_golden("wire-draining.txt", &transcript);
}

#[test]
fn a_rejection_names_the_wait_in_milliseconds() {
    let limiter = start_with_one_open_request(222, |text| text);
    let transcript = exchange(&mut limiter.connect(), &two_requests(), 2);
    assert_golden("wire-busy.txt", &transcript);
}

#[test]
fn a_rejection_names_no_wait_where_the_settings_forbid_it() {
    let limiter = start_with_one_open_request(223, |text| {
        text.replace("\"retryAfter\": true", "\"retryAfter\": false")
    });
    let transcript = exchange(&mut limiter.connect(), &two_requests(), 2);
    assert_golden("wire-busy-without-wait.txt", &transcript);
}

#[test]
fn a_request_without_a_host_is_rejected() {
    let limiter = start(224, false, |text| text);
    assert_eq!(limiter.call("PUT", "/servers/disable", TOY), 200);
    let transcript = exchange(&mut limiter.connect(), &request("Q.ASK", 1, CHECK, ""), 1);
    assert_golden("wire-busy-without-host.txt", &transcript);
}

/// A retry in another cell would run it a second time, so that its client must not be asked for one.
#[test]
fn a_request_that_may_have_run_fails() {
    let limiter = start(226, false, |text| {
        text.replace("\"group\": \"all\"", "\"group\": \"cell\"")
    });
    let command = request("Q.DO", 1, HOLD, "silent");
    let transcript = exchange(&mut limiter.connect(), &command, 1);
    assert_golden("wire-failed.txt", &transcript);
}

/// Where every connection has a response pending, one past the limit is rejected command by command.
#[test]
fn a_connection_past_the_limit_is_rejected() {
    let limiter = start(225, false, |text| {
        text.replace("\"sockets\": 1024", "\"sockets\": 128")
            .replace(
                "\"onTimeNs\": 2000000000, \"hardLimitNs\": 7500000000",
                "\"onTimeNs\": 60000000000, \"hardLimitNs\": 60000000000",
            )
    });
    let facts = "c=bed-check,t=operator,d=50000,units=0.1,spread=1,first=0";
    let _held: Vec<TcpStream> = (100..164)
        .map(|id| {
            let mut client = limiter.connect();
            // By the answer to the first command the second one has been read.
            let both = PING.to_owned() + &request("Q.ASK", id, facts, "silent");
            assert_eq!(ask(&mut client, &both, 1), "+PONG\r\n");
            client
        })
        .collect();
    let commands = PING.to_owned() + &request("Q.ASK", 1, CHECK, "");
    let transcript = exchange(&mut limiter.connect(), &commands, 3);
    assert_golden("wire-busy-connection.txt", &transcript);
}
