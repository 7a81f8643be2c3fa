//! A new version beside a running one.

use crate::limiter_setup;
use crate::{wait_until_served_again, TOY};
use quartzcleat_test_support::commands::{
    call_admin, is_open, request, send, served, CHECK_FACTS, PING,
};
use quartzcleat_test_support::limiter::{terminate, Limiter};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What one client did.
struct ClientReport {
    requests: u64,
    /// Requests on kept connections that the limiter had closed.
    cut_off: u64,
}

/// Sends requests until `is_over`, on kept connections or on a new one each.
fn run_client(number: u64, keeps: bool, address: SocketAddr, is_over: &AtomicBool) -> ClientReport {
    let facts = CHECK_FACTS.replace("units=1", "units=0.001");
    let first_id = number << 32;
    let mut id = first_id;
    let mut kept: Option<TcpStream> = None;
    let mut cut_off = 0;
    while !is_over.load(Ordering::Relaxed) {
        id += 1;
        let mut stream = kept
            .take()
            .filter(is_open)
            .unwrap_or_else(|| TcpStream::connect(address).expect("somebody listens"));
        stream
            .write_all(request("Q.ASK", id, &facts, "").as_bytes())
            .unwrap_or_default();
        let mut answer = [0; 23];
        match stream.read_exact(&mut answer) {
            Ok(()) => {
                assert_eq!(String::from_utf8_lossy(&answer), served(id));
                kept = keeps.then_some(stream);
            }
            // A kept connection may end as the request is on its way; a fresh one may not.
            Err(e) => {
                assert!(keeps, "a new connection ends unheard: {e}");
                cut_off += 1;
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    ClientReport {
        requests: id - first_id,
        cut_off,
    }
}

/// Twenty new versions one after another, under load on new and on kept connections: none is refused, cut off or
/// failed.
#[test]
fn new_versions_take_over_without_a_request_lost() {
    let mut limiter = limiter_setup(23).start();
    let (is_over, address) = (AtomicBool::new(false), limiter.address);
    std::thread::scope(|scope| {
        let is_over = &is_over;
        let clients: Vec<_> = (1..=4)
            .map(|number| scope.spawn(move || run_client(number, number > 2, address, is_over)))
            .collect();
        for number in 0..20 {
            let mut first = limiter.upgrade(number);
            terminate(&first);
            assert!(first.wait().expect("it ends").success());
        }
        is_over.store(true, Ordering::Relaxed);
        let (mut requests, mut cut_off) = (0, 0);
        for client in clients {
            let report = client.join().expect("every request was served");
            requests += report.requests;
            cut_off += report.cut_off;
        }
        assert!(
            requests > 200 && cut_off <= 20,
            "{requests} requests, {cut_off} cut off"
        );
    });
}

/// Waits until both processes are seen to refuse, since new connections come to either.
fn wait_until_both_reject(limiter: &Limiter) {
    let (began, few) = (Instant::now(), CHECK_FACTS.replace("units=1", "units=0.01"));
    let mut ids = 5_000..;
    let mut in_a_row = 0;
    while in_a_row < 12 {
        let answer = send(
            &mut limiter.connect(),
            &request("Q.ASK", ids.next().unwrap_or(0), &few, ""),
            1,
        );
        in_a_row = if answer.starts_with("-BUSY") {
            in_a_row + 1
        } else {
            0
        };
        assert!(
            began.elapsed() < Duration::from_secs(15),
            "not heard after {:?}",
            began.elapsed()
        );
    }
}

/// While two processes live, a word to either holds at both; if the second dies, the first goes on as if alone.
#[test]
fn orders_to_either_process_hold_for_both_and_the_second_may_die() {
    let mut limiter = limiter_setup(27).start();
    let old_console = limiter.admin;
    let mut first = limiter.upgrade(70);
    assert_eq!(call_admin(old_console, "PUT", "/servers/disable", TOY), 200);
    wait_until_both_reject(&limiter);
    assert_eq!(limiter.call_admin("PUT", "/drain", ""), 200);
    let began = Instant::now();
    while call_admin(old_console, "GET", "/ready", "") != 503 {
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "the drain is not heard"
        );
    }
    assert_eq!(call_admin(old_console, "PUT", "/undrain", ""), 200);
    // The second is killed outright: what it was told stands at the first, and nothing is steered to it.
    limiter.child.kill().expect("it is killed");
    limiter.child.wait().expect("it ends");
    limiter.admin = old_console;
    assert_eq!(limiter.call_admin("PUT", "/servers/enable", TOY), 200);
    wait_until_served_again(&limiter);
    terminate(&first);
    // Nobody relieves it: as at any planned end it takes connections for a while.
    assert_eq!(send(&mut limiter.connect(), PING, 1), "+PONG\r\n");
    assert!(first.wait().expect("it ends").success());
}

/// A first process that holds more than its half when the second comes, and takes no more for now, still hands over:
/// the clients that wait in its queue are served as it ends.
#[test]
fn clients_waiting_for_a_crowded_process_are_served_as_it_ends() {
    let long = "\"onTimeNs\": 60000000000, \"hardLimitNs\": 60000000000";
    let mut limiter = limiter_setup(29)
        .with_config(move |text| {
            let text = text.replace("\"sockets\": 1024", "\"sockets\": 128");
            text.replace(
                "\"onTimeNs\": 2000000000, \"hardLimitNs\": 7500000000",
                long,
            )
        })
        .start();
    let facts = "c=bed-check,t=operator,d=50000,units=0.1,spread=1,first=0";
    let busy: Vec<_> = (100..140)
        .map(|id| {
            let mut client = limiter.connect();
            let both = PING.to_owned() + &request("Q.ASK", id, facts, "silent");
            assert_eq!(send(&mut client, &both, 1), "+PONG\r\n");
            client
        })
        .collect();
    let old_console = limiter.admin;
    let first = limiter.upgrade(71);
    // By the time that an order has come over, the first knows of the second, and keeps to its half.
    for (word, status) in [("/drain", 503), ("/undrain", 200)] {
        assert_eq!(limiter.call_admin("PUT", word, ""), 200);
        while call_admin(old_console, "GET", "/ready", "") != status {}
    }
    std::thread::scope(|scope| {
        let began = Instant::now();
        let waiting: Vec<_> = (0..20)
            .map(|_| scope.spawn(|| send(&mut limiter.connect(), PING, 1)))
            .collect();
        // The second has served some by now; the others wait in the queue of the first.
        terminate(&first);
        for client in waiting {
            assert_eq!(client.join().expect("it is heard"), "+PONG\r\n");
        }
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "after {:?}",
            began.elapsed()
        );
    });
    drop(busy);
    let mut first = first;
    first.kill().expect("it is killed");
    first.wait().expect("it ends");
}

/// Maintenance ordered of the old process holds at the new one, and the order to enable given to the new one ends it.
#[test]
fn orders_of_staff_hold_over_a_new_version() {
    let mut limiter = limiter_setup(24).start();
    assert_eq!(limiter.call_admin("PUT", "/servers/disable", TOY), 200);
    let mut first = limiter.upgrade(60);
    first.kill().expect("it is killed");
    first.wait().expect("it ends");
    let mut client = limiter.connect();
    let answer = send(&mut client, &request("Q.ASK", 1, CHECK_FACTS, ""), 1);
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert_eq!(limiter.call_admin("PUT", "/servers/enable", TOY), 200);
    wait_until_served_again(&limiter);
}

/// A version that starts while discovery is silent has the list that the first one holds, and serves by it.
#[test]
fn new_version_serves_by_the_handed_over_list() {
    let mut limiter = limiter_setup(39).start();
    assert_eq!(
        send(
            &mut limiter.connect(),
            &request("Q.ASK", 1, CHECK_FACTS, ""),
            1
        ),
        served(1)
    );
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    limiter.discovery = silent.local_addr().expect("an address");
    let mut first = limiter.upgrade(72);
    first.kill().expect("it is killed");
    first.wait().expect("it ends");
    assert_eq!(
        send(
            &mut limiter.connect(),
            &request("Q.ASK", 2, CHECK_FACTS, ""),
            1
        ),
        served(2)
    );
    let left = std::fs::read_dir(&limiter.folder)
        .expect("it is there")
        .flatten();
    let left = left.filter(|file| {
        file.path()
            .extension()
            .is_some_and(|end| end == "heritage" || end == "draft")
    });
    assert_eq!(left.count(), 0, "what was handed over is taken away");
}
