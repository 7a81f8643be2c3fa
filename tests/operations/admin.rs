//! Tests of the admin interface with stalled connections and under load, and of maintenance of a host.

use crate::{limiter_setup, wait_until_served_again};
use quartzcleat_test_support::commands::{request, send, served, CHECK_FACTS, PING, TOY_HOST};
use quartzcleat_test_support::limiter::Limiter;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Barrier;
use std::time::{Duration, Instant};

/// Number of stalled connections: more than the admin interface keeps open.
const STALLED_CONNECTIONS: usize = 50;

/// Opens connections whose requests are never completed.
fn open_stalled_connections(limiter: &Limiter) -> Vec<TcpStream> {
    (0..STALLED_CONNECTIONS)
        .map(|number| {
            let mut connection = TcpStream::connect(limiter.admin).expect("the interface listens");
            connection
                .write_all(&b"PUT /drain HTTP/1.1\r\n"[..number % 20])
                .expect("the interface reads");
            connection
        })
        .collect()
}

/// Sends valid and invalid requests, none of which changes anything.
fn send_requests_without_effect(limiter: &Limiter) {
    for (method, path, body, status) in [
        ("GET", "/ready", "", 200),
        ("GET", "/drain", "", 405),
        ("PUT", "/ready", "", 405),
        ("PUT", "/", "", 404),
        ("PUT", "/servers/disable", "", 400),
        ("PUT", "/servers/disable", "{\"host\":1}", 422),
        ("PUT", "/servers/disable", "{\"host\":\"toy-9\"}", 404),
        ("PUT", "/servers/enable", "{\"host\":\"toy-9\"}", 404),
    ] {
        assert_eq!(
            limiter.call_admin(method, path, body),
            status,
            "{method} {path} {body}"
        );
    }
}

#[test]
fn admin_interface_answers_within_a_second_while_connections_stall() {
    let limiter = limiter_setup(20).start();
    let _stalled = open_stalled_connections(&limiter);
    let began = Instant::now();
    send_requests_without_effect(&limiter);
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "after {:?}",
        began.elapsed()
    );
}

#[test]
fn stalled_and_malformed_requests_change_nothing() {
    let limiter = limiter_setup(37).start();
    let _stalled = open_stalled_connections(&limiter);
    send_requests_without_effect(&limiter);
    let commands = request("Q.ASK", 1, CHECK_FACTS, "") + PING;
    let answers = send(&mut limiter.connect(), &commands, 2);
    assert_eq!(answers, served(1) + "+PONG\r\n");
}

/// The host is disabled twice: a repeated order changes nothing.
#[test]
fn host_in_maintenance_gets_no_request_until_it_is_enabled() {
    let limiter = limiter_setup(21).start();
    let mut client = limiter.connect();
    let before = send(&mut client, &request("Q.ASK", 1, CHECK_FACTS, ""), 1);
    assert_eq!(before, served(1));
    for _ in 0..2 {
        let disabled = limiter.call_admin("PUT", "/servers/disable", TOY_HOST);
        assert_eq!(disabled, 200);
    }
    let during = send(&mut client, &request("Q.ASK", 2, CHECK_FACTS, ""), 1);
    assert!(during.starts_with("-BUSY"), "{during}");
    let enabled = limiter.call_admin("PUT", "/servers/enable", TOY_HOST);
    assert_eq!(enabled, 200);
    wait_until_served_again(&limiter);
}

/// Number of clients that saturate the limiter.
const SATURATING_CLIENTS: u64 = 6;

/// Sends batches of requests until `is_over` is set. Waits at `all_saturate` once the first batch is answered.
fn saturate(client: u64, address: SocketAddr, all_saturate: &Barrier, is_over: &AtomicBool) {
    const BATCH: u64 = 200;
    let mut stream = TcpStream::connect(address).expect("the limiter listens");
    let mut first_id = client << 40;
    while !is_over.load(Ordering::Relaxed) {
        let batch: String = (first_id..first_id + BATCH)
            .map(|id| request("Q.ASK", id, CHECK_FACTS, ""))
            .collect();
        first_id += BATCH;
        send(&mut stream, &batch, BATCH as usize);
        if first_id == (client << 40) + BATCH {
            all_saturate.wait();
        }
    }
}

/// The platform's own timeout for a request to the admin interface is 1 s.
#[test]
fn admin_interface_answers_within_a_second_while_the_limiter_is_saturated() {
    let limiter = limiter_setup(28).start();
    let _stalled: Vec<TcpStream> = (0..STALLED_CONNECTIONS)
        .map(|_| TcpStream::connect(limiter.admin).expect("the interface listens"))
        .collect();
    let address = limiter.address;
    let is_over = AtomicBool::new(false);
    let all_saturate = Barrier::new(SATURATING_CLIENTS as usize + 1);
    std::thread::scope(|scope| {
        for client in 1..=SATURATING_CLIENTS {
            let is_over = &is_over;
            let all_saturate = &all_saturate;
            scope.spawn(move || saturate(client, address, all_saturate, is_over));
        }
        all_saturate.wait();
        let mut longest = Duration::ZERO;
        for _ in 0..20 {
            let began = Instant::now();
            assert_eq!(limiter.call_admin("GET", "/ready", ""), 200);
            longest = longest.max(began.elapsed());
        }
        is_over.store(true, Ordering::Relaxed);
        println!("the longest of 20 requests took {longest:?}");
        assert!(longest < Duration::from_secs(1), "{longest:?}");
    });
}
