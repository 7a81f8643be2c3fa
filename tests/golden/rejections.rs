//! The errors that clients get for sound requests: `-ERR draining`, `-BUSY` and `-ERR failed`.

use crate::{assert_golden, limiter_setup};
use quartzcleat_test_support::commands::{request, send, CHECK_FACTS, HOLD_FACTS, PING, TOY_HOST};
use quartzcleat_test_support::config::{
    replace, with_few_sockets, with_long_deadline, with_one_request_in_progress,
    without_retry_after, CLIENT_CONNECTIONS,
};
use std::net::TcpStream;

/// Sends commands in one write, and returns them with their answers.
fn exchange(client: &mut TcpStream, commands: &str, answers: usize) -> String {
    let received = send(client, commands, answers);
    format!(
        "> {}\n< {}\n",
        commands.escape_debug(),
        received.escape_debug()
    )
}

/// The first of them gets no answer of its host, so that the second one finds it in progress.
fn two_requests() -> String {
    request("Q.DO", 1, HOLD_FACTS, "silent") + &request("Q.ASK", 2, CHECK_FACTS, "")
}

#[test]
fn a_draining_limiter_answers_pings_with_an_error() {
    let limiter = limiter_setup(221).start();
    let mut client = limiter.connect();
    assert_eq!(limiter.call_admin("PUT", "/drain", ""), 200);
    let commands = PING.to_owned() + &request("Q.ASK", 1, CHECK_FACTS, "") + PING;
    let mut transcript = exchange(&mut client, &commands, 3);
    assert_eq!(limiter.call_admin("PUT", "/undrain", ""), 200);
    transcript += &exchange(&mut limiter.connect(), PING, 1);
    assert_golden("wire-draining.txt", &transcript);
}

#[test]
fn a_rejection_names_the_wait_in_milliseconds() {
    let limiter = limiter_setup(222)
        .with_config(with_one_request_in_progress)
        .start();
    let transcript = exchange(&mut limiter.connect(), &two_requests(), 2);
    assert_golden("wire-busy.txt", &transcript);
}

#[test]
fn a_rejection_names_no_wait_where_the_settings_forbid_it() {
    let limiter = limiter_setup(223)
        .with_config(|text| with_one_request_in_progress(&without_retry_after(text)))
        .start();
    let transcript = exchange(&mut limiter.connect(), &two_requests(), 2);
    assert_golden("wire-busy-without-wait.txt", &transcript);
}

#[test]
fn a_request_without_a_host_is_rejected() {
    let limiter = limiter_setup(224).start();
    assert_eq!(limiter.call_admin("PUT", "/servers/disable", TOY_HOST), 200);
    let transcript = exchange(
        &mut limiter.connect(),
        &request("Q.ASK", 1, CHECK_FACTS, ""),
        1,
    );
    assert_golden("wire-busy-without-host.txt", &transcript);
}

/// A retry in another cell would run it a second time, so that its client must not be asked for one.
#[test]
fn a_request_that_may_have_run_fails() {
    let limiter = limiter_setup(226)
        .with_config(|text| replace(text, "\"group\": \"all\"", "\"group\": \"cell\""))
        .start();
    let command = request("Q.DO", 1, HOLD_FACTS, "silent");
    let transcript = exchange(&mut limiter.connect(), &command, 1);
    assert_golden("wire-failed.txt", &transcript);
}

/// Where every connection has a response pending, one past the limit is rejected command by command.
#[test]
fn a_connection_past_the_limit_is_rejected() {
    let limiter = limiter_setup(225)
        .with_config(|text| with_few_sockets(&with_long_deadline(text)))
        .start();
    let _pending: Vec<TcpStream> = (100..100 + CLIENT_CONNECTIONS)
        .map(|id| limiter.connect_with_pending_request(id))
        .collect();
    let commands = PING.to_owned() + &request("Q.ASK", 1, CHECK_FACTS, "");
    let transcript = exchange(&mut limiter.connect(), &commands, 3);
    assert_golden("wire-busy-connection.txt", &transcript);
}
