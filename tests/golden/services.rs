//! The bytes that a limiter sends to hosts, the counter and discovery.
//!
//! A value that depends on the clock is written as a name in angle brackets: the remaining wait of a request, the index of a
//! counter's window, and the time for which the counter keeps it. Lengths in front of them are those of the name.

use crate::quota_window::{
    current_window, with_long_wait, with_steady_quotas, within_one_window, FEW_UNITS,
};
use crate::recorder::{with_arguments, RecordingService};
use crate::{assert_golden, limiter_setup};
use quartzcleat_test_support::commands::{request, send, CHECK_FACTS, HOLD_FACTS, TOY_HOST};
use quartzcleat_test_support::limiter::{Limiter, Services};
use std::net::SocketAddr;
use std::sync::Mutex;

/// The fact of a request whose true cost the host reports.
const SETTLED_UNITS: &str = "units=0.002";
/// So many units beyond the refill of a window may be used where the window before was not used up.
const UNITS_PAST_REFILL: f64 = 10.0;
/// The wait that the example requests ask for, in milliseconds.
const WAIT_MS: u64 = 7_000;

/// Host, counter and discovery of one limiter.
struct Platform {
    host: RecordingService,
    counter: RecordingService,
    discovery: RecordingService,
}

impl Platform {
    fn start() -> Self {
        let host = RecordingService::resp(|command| Some(answer_as_host(command)));
        let listed = host.address;
        Platform {
            host,
            counter: RecordingService::resp(counter_answer()),
            discovery: RecordingService::http(move |request| answer_as_discovery(request, listed)),
        }
    }

    fn start_limiter(&self, number: u8, change: impl Fn(&str) -> String + 'static) -> Limiter {
        let services = Services {
            discovery: self.discovery.address,
            counter: self.counter.address,
        };
        limiter_setup(number)
            .with_config(change)
            .start_beside(services)
    }

    /// Waits until the limiter has the endpoint list: it calls for the list, and then for changes of it.
    fn wait_until_listed(&self) {
        assert!(self
            .discovery
            .next_message()
            .starts_with("GET /discovery/hosts HTTP"));
        assert!(self
            .discovery
            .next_message()
            .starts_with("GET /discovery/hosts?"));
    }
}

/// Serves every request; of one with [`SETTLED_UNITS`] it reports the true cost.
fn answer_as_host(command: &str) -> String {
    let answer = if command.contains(SETTLED_UNITS) {
        "*3\r\n$2\r\nok\r\n$10\r\ncost=0.003\r\n$-1\r\n"
    } else {
        "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
    };
    answer.to_owned()
}

/// Adds to a single total, and returns it.
fn counter_answer() -> impl Fn(&str) -> Option<String> + Send + Sync + 'static {
    let total = Mutex::new(0.0);
    move |command| {
        let amount = command.split("\r\n").nth(6).expect("a third argument");
        let amount: f64 = amount.parse().expect("an amount");
        let mut total = total.lock().expect("no thread panics while it adds");
        *total += amount;
        let text = total.to_string();
        Some(format!("${}\r\n{text}\r\n", text.len()))
    }
}

/// Returns the list at once, and leaves a call for changes without an answer.
fn answer_as_discovery(request: &str, host: SocketAddr) -> Option<String> {
    if request.contains("?index=") {
        return None;
    }
    let list = format!(
        r#"{{"generation":7,"reset":true,"instances":[{{"instanceId":"toy-0","hostPort":"{host}","zone":"a",{}}}]}}"#,
        r#""machineType":"toy","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0"#
    );
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    ))
}

/// Replaces the remaining wait in the facts of a request.
fn without_wait(argument: &str) -> String {
    let fact = |fact: &str| match fact.strip_prefix("d=") {
        Some(wait) => {
            let wait: u64 = wait.parse().expect("the wait is a number");
            assert!((1..=WAIT_MS).contains(&wait), "{wait}");
            "d=<remaining>".to_owned()
        }
        None => fact.to_owned(),
    };
    let facts: Vec<String> = argument.split(',').map(fact).collect();
    facts.join(",")
}

/// Replaces the index of the window in a counter's name, and the time for which the counter keeps it: with windows of
/// 25 s, that is to the end of the window after the present one.
fn without_window_and_keep_time(argument: &str) -> String {
    if let Some((name, index)) = argument.split_once('.') {
        let current = current_window().index;
        let index: Option<u128> = index.parse().ok();
        if index == Some(current) && name.starts_with('q') {
            return format!("{name}.<window>");
        }
        if index == Some(current - 1) && name.starts_with('q') {
            return format!("{name}.<window before>");
        }
    }
    match argument.parse::<u64>() {
        Ok(25_000..=50_000) => "<keep>".to_owned(),
        _ => argument.to_owned(),
    }
}

fn line(message: &str) -> String {
    format!("{}\n", message.escape_debug())
}

#[test]
fn hosts_are_sent_these_bytes() {
    let platform = Platform::start();
    let limiter = platform.start_limiter(211, str::to_owned);
    platform.wait_until_listed();
    let mut transcript = String::new();
    for (id, verb, facts, body) in [
        (1, "Q.ASK", CHECK_FACTS.to_owned(), ""),
        (2, "q.ask", CHECK_FACTS.to_owned(), "x"),
        (3, "Q.DO", HOLD_FACTS.to_owned(), "a bed"),
        (4, "Q.DO", format!("{HOLD_FACTS},r=1"), ""),
        (
            5,
            "Q.ASK",
            CHECK_FACTS.replace("units=1", "other=y,units=0.25"),
            "",
        ),
    ] {
        let facts = facts.replace("d=900", &format!("d={WAIT_MS}"));
        let answer = send(&mut limiter.connect(), &request(verb, id, &facts, body), 1);
        assert_eq!(answer, "$2\r\nok\r\n", "request {id}");
        transcript += &line(&with_arguments(&platform.host.next_message(), without_wait));
    }
    assert_golden("wire-hosts.txt", &transcript);
}

/// A request whose estimate stands, one whose true cost is settled with the call after it, and one that is refunded
/// because no host may run it.
#[test]
fn the_counter_is_sent_these_bytes() {
    let transcript = within_one_window(record_counter_calls);
    assert_golden("wire-counter.txt", &transcript);
}

fn record_counter_calls() -> String {
    let platform = Platform::start();
    let limiter = platform.start_limiter(213, |text| {
        with_steady_quotas(text).replace(
            "\"counter\": true",
            "\"counter\": true, \"costAfter\": true",
        )
    });
    platform.wait_until_listed();
    let mut client = limiter.connect();
    let mut transcript = String::new();
    let mut record = |id, facts: &str, calls| {
        let command = request("Q.ASK", id, &with_long_wait(facts), "");
        send(&mut client, &command, 1);
        for _ in 0..calls {
            let call = platform.counter.next_message();
            transcript += &line(&with_arguments(&call, without_window_and_keep_time));
        }
    };
    record(1, &CHECK_FACTS.replace("units=1", FEW_UNITS), 1);
    record(2, &CHECK_FACTS.replace("units=1", SETTLED_UNITS), 1);
    assert_eq!(limiter.call_admin("PUT", "/servers/disable", TOY_HOST), 200);
    record(3, &CHECK_FACTS.replace("units=1", FEW_UNITS), 2);
    transcript
}

/// The answer to the first call leaves the verdict to the use of the window before.
#[test]
fn the_counter_is_asked_for_the_window_before_in_these_bytes() {
    let transcript = within_one_window(record_read_of_window_before);
    assert_golden("wire-counter-read.txt", &transcript);
}

fn record_read_of_window_before() -> String {
    let platform = Platform {
        counter: RecordingService::resp(|_| {
            let total = current_window().refilled_units() + UNITS_PAST_REFILL;
            let text = total.to_string();
            Some(format!("${}\r\n{text}\r\n", text.len()))
        }),
        ..Platform::start()
    };
    let limiter = platform.start_limiter(216, with_steady_quotas);
    platform.wait_until_listed();
    let command = request("Q.ASK", 1, &with_long_wait(CHECK_FACTS), "");
    send(&mut limiter.connect(), &command, 1);
    (0..2)
        .map(|_| {
            let call = platform.counter.next_message();
            line(&with_arguments(&call, without_window_and_keep_time))
        })
        .collect()
}

/// The first call for the list, the watch behind it, and the call for the whole list beside the watch.
#[test]
fn discovery_is_sent_these_bytes() {
    let platform = Platform::start();
    let _limiter = platform.start_limiter(214, str::to_owned);
    let transcript = discovery_calls(&platform, 3);
    assert_golden("wire-discovery.txt", &transcript);
}

/// Where limiters poll, the first call is for the changes since the list of the configuration.
#[test]
fn a_polled_discovery_is_sent_these_bytes() {
    let platform = Platform::start();
    let _limiter = platform.start_limiter(215, |text| {
        text.replace("\"registryMode\": \"push\"", "\"registryMode\": \"ask\"")
    });
    let transcript = discovery_calls(&platform, 1);
    assert_golden("wire-discovery-polled.txt", &transcript);
}

fn discovery_calls(platform: &Platform, count: usize) -> String {
    let address = platform.discovery.address.to_string();
    (0..count)
        .map(|_| {
            line(
                &platform
                    .discovery
                    .next_message()
                    .replace(&address, "<discovery>"),
            )
        })
        .collect()
}
