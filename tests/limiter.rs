//! The program as a process, spoken to over sockets, beside a toy platform.

use quartzcleat_fakes::process::Signal;
use quartzcleat_test_support::commands::{
    command, request, send, served, ANSWER_TIMEOUT, CHECK_FACTS, HOLD_FACTS, PING,
};
use quartzcleat_test_support::config::{
    with_few_sockets, with_long_deadline, with_one_request_in_progress, without_retry_after,
    CLIENT_CONNECTIONS,
};
use quartzcleat_test_support::limiter::{Limiter, LimiterSetup, EXAMPLE_CONFIG};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A limiter of this build.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

#[test]
fn pipelined_requests_are_served_in_order_and_malformed_ones_do_not_end_them() {
    let limiter = limiter_setup(1).start();
    let commands = request("Q.ASK", 1, CHECK_FACTS, "")
        + &command(&["HELLO"])
        + &request("Q.DO", 2, HOLD_FACTS, "a bed")
        + &request("Q.ASK", 3, "c=bed-check,t=operator", "")
        + &request("Q.ASK", 4, CHECK_FACTS, "x");
    let expected = served(1)
        + "-ERR unknown command\r\n"
        + &served(2)
        + "-ERR the list holds no d that is a time\r\n"
        + &served(4);
    assert_eq!(send(&mut limiter.connect(), &commands, 5), expected);
}

/// Bytes that are no command are answered, and end the connection after all answers before theirs.
#[test]
fn unreadable_bytes_end_the_connection_after_the_answers_before_them() {
    let limiter = limiter_setup(11).start();
    let commands = request("Q.ASK", 5, CHECK_FACTS, "") + "PING\r\n";
    let expected = served(5) + "-ERR a command is an array of bulk strings\r\n";
    assert_eq!(send(&mut limiter.connect(), &commands, 3), expected);
}

/// Fails requests at the host in each of its ways.
fn fail_at_host(limiter: &Limiter) {
    for (id, body) in [(1, "error"), (2, "cut"), (3, "silent")] {
        let began = Instant::now();
        let command = request("Q.DO", id, HOLD_FACTS, body);
        let answer = send(&mut limiter.connect(), &command, 1);
        assert!(
            answer.starts_with('-') && answer.ends_with("\r\n"),
            "{body}: {answer:?}"
        );
        assert!(
            began.elapsed() < Duration::from_millis(950),
            "{body}: after {:?}",
            began.elapsed()
        );
    }
}

#[test]
fn every_failure_of_a_host_ends_in_one_answer_before_the_deadline() {
    fail_at_host(&limiter_setup(2).start());
}

#[test]
fn host_that_failed_serves_again() {
    let limiter = limiter_setup(12).start();
    fail_at_host(&limiter);
    let command = request("Q.DO", 9, HOLD_FACTS, "fine");
    assert_eq!(send(&mut limiter.connect(), &command, 1), served(9));
}

/// Requests pass while the counter is silent, after a short wait.
#[test]
fn silent_counter_delays_requests_briefly() {
    let limiter = limiter_setup(3).with_silent_counter().start();
    let mut client = limiter.connect();
    let began = Instant::now();
    for id in 1..=5 {
        let answer = send(&mut client, &request("Q.ASK", id, CHECK_FACTS, ""), 1);
        assert_eq!(answer, served(id));
    }
    assert!(
        began.elapsed() < Duration::from_millis(900),
        "after {:?}",
        began.elapsed()
    );
}

/// A request of 6 units by a customer of plan `guide`, which has a window of 9 s for 18 units.
const GUIDE_FACTS: &str = "c=bed-check,t=guide,d=900,units=6,spread=1,first=0";

/// The answers to requests for 60 units within a window for 18.
fn answers_beyond_the_quota(limiter: &Limiter) -> Vec<String> {
    (3..13)
        .map(|id| {
            let command = request("Q.ASK", id, GUIDE_FACTS, "");
            send(&mut limiter.connect(), &command, 1)
        })
        .collect()
}

/// The answers to two requests, of which the first one is still in progress when the second one arrives.
fn answers_to_two_requests_at_once(limiter: &Limiter) -> String {
    let first = request("Q.DO", 1, HOLD_FACTS, "silent");
    let second = request("Q.ASK", 2, CHECK_FACTS, "");
    send(&mut limiter.connect(), &(first + &second), 2)
}

#[test]
fn request_past_the_cap_on_requests_in_progress_is_rejected() {
    let limiter = limiter_setup(4)
        .with_config(with_one_request_in_progress)
        .start();
    let answers = answers_to_two_requests_at_once(&limiter);
    assert!(
        answers.starts_with('-') && answers.ends_with("\r\n-BUSY 1000\r\n"),
        "{answers}"
    );
}

#[test]
fn request_beyond_the_quota_is_rejected() {
    let limiter = limiter_setup(13)
        .with_config(with_one_request_in_progress)
        .start();
    let answers = answers_beyond_the_quota(&limiter);
    assert!(
        answers.iter().any(|answer| answer.starts_with("-BUSY")),
        "{answers:?}"
    );
}

#[test]
fn rejection_beyond_the_quota_names_no_wait_where_the_settings_forbid_it() {
    let limiter = limiter_setup(10).with_config(without_retry_after).start();
    let answers = answers_beyond_the_quota(&limiter);
    assert!(
        answers.iter().any(|answer| answer == "-BUSY\r\n"),
        "{answers:?}"
    );
}

#[test]
fn rejection_past_the_cap_names_no_wait_where_the_settings_forbid_it() {
    let limiter = limiter_setup(14)
        .with_config(|text| with_one_request_in_progress(&without_retry_after(text)))
        .start();
    let answers = answers_to_two_requests_at_once(&limiter);
    assert!(answers.ends_with("\r\n-BUSY\r\n"), "{answers}");
}

/// Connections with a pending response each, as many as the limiter serves.
fn fill_with_pending_requests(limiter: &Limiter) -> Vec<TcpStream> {
    (100..100 + CLIENT_CONNECTIONS)
        .map(|id| limiter.connect_with_pending_request(id))
        .collect()
}

#[test]
fn requests_of_a_connection_past_the_limit_are_rejected_and_the_connection_ends() {
    let limiter = limiter_setup(6)
        .with_config(|text| with_few_sockets(&with_long_deadline(text)))
        .start();
    let _pending = fill_with_pending_requests(&limiter);
    let two = request("Q.ASK", 1, CHECK_FACTS, "") + &request("Q.ASK", 2, CHECK_FACTS, "");
    assert_eq!(
        send(&mut limiter.connect(), &two, 3),
        "-BUSY 1000\r\n-BUSY 1000\r\n"
    );
}

/// Whether a new connection is served twice, and so is not one past the limit.
fn is_served_twice(limiter: &Limiter) -> bool {
    let mut client = limiter.connect();
    (0..2).all(|_| {
        let mut answer = [0; "+PONG\r\n".len()];
        let pinged = client.write_all(PING.as_bytes());
        pinged.and_then(|()| client.read_exact(&mut answer)).is_ok()
    })
}

#[test]
fn connections_that_close_make_room() {
    let limiter = limiter_setup(15)
        .with_config(|text| with_few_sockets(&with_long_deadline(text)))
        .start();
    drop(fill_with_pending_requests(&limiter));
    let began = Instant::now();
    while !is_served_twice(&limiter) {
        assert!(began.elapsed() < ANSWER_TIMEOUT, "no room was made");
    }
}

/// Past the limit on connections the one that has been idle longest makes room for one with a request.
#[test]
fn longest_idle_connection_makes_room() {
    let limiter = limiter_setup(8).with_config(with_few_sockets).start();
    let few = CHECK_FACTS.replace("units=1", "units=0.1");
    let connect_and_request = |id| {
        let mut client = limiter.connect();
        let answer = send(&mut client, &request("Q.ASK", id, &few, ""), 1);
        assert_eq!(answer, served(id));
        client
    };
    let mut held: Vec<TcpStream> = (0..CLIENT_CONNECTIONS).map(connect_and_request).collect();
    let _further = connect_and_request(CLIENT_CONNECTIONS);
    assert_eq!(held[0].read(&mut [0]).expect("an end"), 0);
    let latest = held.last_mut().expect("connections are held");
    let answer = send(latest, &request("Q.ASK", 65, CHECK_FACTS, ""), 1);
    assert_eq!(answer, served(65));
}

/// The end comes in order, also where half a command was read.
#[test]
fn connections_without_a_whole_command_end_within_3_s() {
    let limiter = limiter_setup(9).start();
    let began = Instant::now();
    let mut silent = limiter.connect();
    let mut half = limiter.connect();
    let command = request("Q.ASK", 1, CHECK_FACTS, "");
    half.write_all(&command.as_bytes()[..40])
        .expect("the limiter reads");
    for client in [&mut silent, &mut half] {
        assert_eq!(client.read(&mut [0]).ok(), Some(0));
    }
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "after {:?}",
        began.elapsed()
    );
}

/// It outlives a connection that never sent a command.
#[test]
fn used_connection_is_kept_for_longer_and_then_ends() {
    let limiter = limiter_setup(16).start();
    let mut silent = limiter.connect();
    let mut used = limiter.connect();
    let first = send(&mut used, &request("Q.ASK", 1, CHECK_FACTS, ""), 1);
    assert_eq!(first, served(1));
    assert_eq!(silent.read(&mut [0]).ok(), Some(0));
    let second = send(&mut used, &request("Q.ASK", 2, CHECK_FACTS, ""), 1);
    assert_eq!(second, served(2));
    assert_eq!(used.read(&mut [0]).expect("an end"), 0);
}

/// The answers that two clients get from a limiter that shuts down.
struct LastAnswers {
    to_pending_request: String,
    to_later_request: String,
}

/// At a planned end, connections are served on, and a pending request gets its answer.
#[test]
fn at_sigterm_requests_are_answered_and_the_program_ends_well() {
    let mut limiter = limiter_setup(5).start();
    let mut idle = limiter.connect();
    let mut busy = limiter.connect();
    busy.write_all(request("Q.DO", 1, HOLD_FACTS, "silent").as_bytes())
        .expect("the limiter reads");
    let clients = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(200));
        LastAnswers {
            to_later_request: send(&mut idle, &request("Q.ASK", 2, CHECK_FACTS, ""), 1),
            to_pending_request: send(&mut busy, "", 1),
        }
    });
    assert!(limiter.terminate().success());
    let answers = clients.join().expect("the clients end");
    assert_eq!(answers.to_later_request, served(2));
    let answer = answers.to_pending_request;
    assert!(
        answer.starts_with('-') && answer.ends_with("\r\n"),
        "{answer:?}"
    );
}

#[test]
fn faulty_file_at_sighup_changes_nothing() {
    let limiter = limiter_setup(17).start();
    let mut client = limiter.connect();
    std::fs::write(&limiter.config_path, "{").expect("the file is replaced");
    limiter.signal(Signal::SIGHUP);
    let answer = send(&mut client, &request("Q.ASK", 1, CHECK_FACTS, ""), 1);
    assert_eq!(answer, served(1));
}

/// A service that accepts connections and is silent.
struct SilentService {
    listener: TcpListener,
    address: String,
}

impl SilentService {
    fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        SilentService {
            listener,
            address: address.to_string(),
        }
    }
}

/// A faulty file before it does not matter. The endpoint list stays valid while the new discovery is silent, and a silent
/// counter delays requests briefly.
#[test]
fn at_sighup_discovery_and_counter_are_called_at_the_addresses_in_the_file() {
    let mut limiter = limiter_setup(7).start();
    let mut client = limiter.connect();
    std::fs::write(&limiter.config_path, "{").expect("the file is replaced");
    limiter.signal(Signal::SIGHUP);
    let first = send(&mut client, &request("Q.ASK", 1, CHECK_FACTS, ""), 1);
    assert_eq!(first, served(1));
    let discovery = SilentService::bind();
    let counter = SilentService::bind();
    let text = EXAMPLE_CONFIG
        .replace("127.0.0.1:7001", &discovery.address)
        .replace("127.0.0.1:7002", &counter.address);
    std::fs::write(&limiter.config_path, text).expect("the file is replaced");
    limiter.signal(Signal::SIGHUP);
    let _calls = [discovery, counter]
        .map(|service| service.listener.accept().expect("the limiter connects"));
    let second = send(&mut client, &request("Q.ASK", 2, CHECK_FACTS, ""), 1);
    assert_eq!(second, served(2));
    assert!(limiter.terminate().success());
}

#[test]
fn faulty_configuration_is_named_by_its_key() {
    for (from, to, message) in [
        (
            "\"127.0.0.1:7001\"",
            "\"nowhere\"",
            "discovery: \"nowhere\" is not an address",
        ),
        (
            "\"sendCap\": 4",
            "\"sendCap\": \"four\"",
            "settings.limits.sendCap: cannot read",
        ),
        (
            "\"sockets\": 1024",
            "\"sockets\": -1",
            "limits.sockets: -1 is not a non-negative integer",
        ),
        (
            "\"dedup\"",
            "\"dedupe\"",
            "settings.categories.1.effect: unknown keyword",
        ),
        ("\"counter\": \"127.0.0.1:7002\",", "", "counter: missing"),
        ("\"8c1f30d27a5be964\"", "7", "seed: 7 is not a string"),
    ] {
        let text = EXAMPLE_CONFIG.replacen(from, to, 1);
        let problem = quartzcleat::net::config::parse(&text, |_| None)
            .expect_err(to)
            .to_string();
        assert!(problem.starts_with(message), "{problem}");
    }
}
