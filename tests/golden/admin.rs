//! The admin interface's whole responses: body, headers and status, also for calls that are late, too long or too early.

use crate::{assert_golden, limiter_setup};
use quartzcleat_fakes::process::Signal;
use quartzcleat_test_support::commands::{
    exchange_with_admin, request, ANSWER_TIMEOUT, HOLD_FACTS,
};
use quartzcleat_test_support::limiter::{Limiter, Services};
use std::io::Write;
use std::net::TcpListener;
use std::time::Instant;

const READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
/// More than a head or a body may have.
const TOO_LONG_BYTES: usize = 9 << 10;

fn record(name: &str, response: &str) -> String {
    format!("{name}: {}\n", response.escape_debug())
}

fn put(path: &str, body: &str) -> String {
    let length = body.len();
    format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}")
}

#[test]
fn responses_are_these_bytes() {
    let limiter = limiter_setup(231).start();
    let mut transcript = String::new();
    for (name, call) in [
        ("ready", READY.to_owned()),
        ("disable", put("/servers/disable", r#"{"host":"toy-0"}"#)),
        ("enable", put("/servers/enable", r#"{"host":"toy-0"}"#)),
        ("unknown host", put("/servers/disable", r#"{"host":"x"}"#)),
        ("no path", put("/x", "")),
        ("no such method", put("/ready", "")),
        ("no JSON", put("/servers/disable", "{")),
        ("no host", put("/servers/disable", "{}")),
        ("no HTTP", "PING\r\n\r\n".to_owned()),
        (
            "chunked",
            "PUT /drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
        ),
        (
            "no length",
            "PUT /drain HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_owned(),
        ),
        ("drain", put("/drain", "")),
        ("draining", READY.to_owned()),
        ("undrain", put("/undrain", "")),
    ] {
        transcript += &record(name, &exchange_with_admin(limiter.admin, &call));
    }
    assert_golden("wire-admin-responses.txt", &transcript);
}

#[test]
fn a_call_that_is_too_long_gets_413() {
    let limiter = limiter_setup(232).start();
    let endless_head = format!(
        "GET /ready HTTP/1.1\r\nHost: {}",
        "x".repeat(TOO_LONG_BYTES)
    );
    let long_body = format!("PUT /drain HTTP/1.1\r\nContent-Length: {TOO_LONG_BYTES}\r\n\r\n");
    let transcript = record("head", &exchange_with_admin(limiter.admin, &endless_head))
        + &record("body", &exchange_with_admin(limiter.admin, &long_body));
    assert_golden("wire-admin-413.txt", &transcript);
}

#[test]
fn a_call_that_never_ends_gets_408() {
    let limiter = limiter_setup(233).start();
    let response = exchange_with_admin(limiter.admin, "GET /ready HTTP/1.1\r\n");
    assert_golden("wire-admin-408.txt", &record("half a head", &response));
}

/// Before discovery has answered, no host is known to be unknown.
#[test]
fn a_call_on_a_host_before_the_first_list_gets_503() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = silent.local_addr().expect("it has an address");
    let services = Services {
        discovery: address,
        counter: address,
    };
    let limiter = limiter_setup(234).start_beside(services);
    drop(limiter.connect());
    let response = exchange_with_admin(limiter.admin, &put("/servers/disable", r#"{"host":"x"}"#));
    assert_golden("wire-admin-503.txt", &record("no list yet", &response));
}

/// After SIGTERM the process is ready until connections are closed; then it says that it ends.
#[test]
fn a_limiter_that_ends_gives_503() {
    let limiter = limiter_setup(235).start();
    let mut client = limiter.connect();
    let facts = HOLD_FACTS.replace("d=900", "d=3500");
    client
        .write_all(request("Q.DO", 1, &facts, "silent").as_bytes())
        .expect("the limiter reads");
    limiter.signal(Signal::SIGTERM);
    let response = wait_until_not_ready(&limiter);
    assert_golden("wire-admin-ending.txt", &record("ending", &response));
}

/// The first response that is not 200.
fn wait_until_not_ready(limiter: &Limiter) -> String {
    let began = Instant::now();
    loop {
        let response = exchange_with_admin(limiter.admin, READY);
        if !response.starts_with("HTTP/1.1 200 ") {
            return response;
        }
        assert!(began.elapsed() < ANSWER_TIMEOUT, "still ready: {response}");
    }
}
