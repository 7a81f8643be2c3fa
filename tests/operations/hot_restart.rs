//! Tests of a new version that takes over from a running one.

use crate::{limiter_setup, wait_until_served_again};
use quartzcleat_test_support::commands::{
    call_admin, is_open, request, served, ANSWER_TIMEOUT, CHEAP_FACTS, CHECK_FACTS, PING, TOY_HOST,
};
use quartzcleat_test_support::config::{with_few_sockets, with_long_deadline};
use quartzcleat_test_support::limiter::{terminate, Limiter};
use std::fs::DirEntry;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Whether a client reuses its connection.
#[derive(Clone, Copy, PartialEq)]
enum Connections {
    KeepAlive,
    NewForEachRequest,
}

/// Results of one client.
struct ClientReport {
    /// Number of requests sent.
    requests: u64,
    /// Number of requests that failed because the limiter closed their keep-alive connection.
    cut_off: u64,
}

/// Sends one request after another until `is_over` is set.
fn run_client(
    number: u64,
    connections: Connections,
    address: SocketAddr,
    is_over: &AtomicBool,
) -> ClientReport {
    let facts = CHECK_FACTS.replace("units=1", "units=0.001");
    let first_id = number << 32;
    let mut id = first_id;
    let mut idle_connection: Option<TcpStream> = None;
    let mut cut_off = 0;
    while !is_over.load(Ordering::Relaxed) {
        id += 1;
        let mut stream = idle_connection
            .take()
            .filter(is_open)
            .unwrap_or_else(|| TcpStream::connect(address).expect("a process listens"));
        stream
            .write_all(request("Q.ASK", id, &facts, "").as_bytes())
            .unwrap_or_default();
        let mut answer = [0; 23];
        match stream.read_exact(&mut answer) {
            Ok(()) => {
                assert_eq!(String::from_utf8_lossy(&answer), served(id));
                idle_connection = (connections == Connections::KeepAlive).then_some(stream);
            }
            // A keep-alive connection may be closed while the request is on its way; a new one may not.
            Err(error) => {
                assert!(
                    connections == Connections::KeepAlive,
                    "a new connection ends without an answer: {error}"
                );
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

/// Twenty versions take over one after another, under load on new and on keep-alive connections. No request may be
/// rejected or failed, and none on a new connection may be cut off; at most 20 may be on keep-alive connections.
#[test]
fn new_versions_take_over_without_a_request_lost() {
    let mut limiter = limiter_setup(23).start();
    let address = limiter.address;
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let is_over = &is_over;
        let clients: Vec<_> = (1..=4)
            .map(|number| {
                let connections = if number > 2 {
                    Connections::KeepAlive
                } else {
                    Connections::NewForEachRequest
                };
                scope.spawn(move || run_client(number, connections, address, is_over))
            })
            .collect();
        for number in 0..20 {
            let mut first = limiter.upgrade(number);
            terminate(&first);
            assert!(first.wait().expect("the process ends").success());
        }
        is_over.store(true, Ordering::Relaxed);
        let mut requests = 0;
        let mut cut_off = 0;
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

/// Number of consecutive rejections after which both processes count as rejecting: new connections are distributed over
/// both.
const REJECTIONS_BY_BOTH: usize = 12;

fn wait_until_both_reject(limiter: &Limiter) {
    let began = Instant::now();
    let mut rejections = 0;
    for id in 5_000.. {
        let answer = limiter.answer(&request("Q.ASK", id, CHEAP_FACTS, ""));
        rejections = if answer.starts_with("-BUSY") {
            rejections + 1
        } else {
            0
        };
        if rejections == REJECTIONS_BY_BOTH {
            return;
        }
        assert!(
            began.elapsed() < Duration::from_secs(15),
            "not known to both after {:?}",
            began.elapsed()
        );
    }
}

/// Time within which an order to one process must hold for the other.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

fn wait_until_readiness_is(admin: SocketAddr, status: u16, timeout: Duration) {
    let began = Instant::now();
    while call_admin(admin, "GET", "/ready", "") != status {
        assert!(
            began.elapsed() < timeout,
            "the order does not reach the other process"
        );
    }
}

fn kill(process: &mut Child) {
    process.kill().expect("the process is killed");
    process.wait().expect("the process ends");
}

/// A limiter of two processes. The fields of `limiter` describe the second one.
struct TwoProcesses {
    limiter: Limiter,
    first: Child,
    first_admin: SocketAddr,
}

impl TwoProcesses {
    fn start(number: u8) -> Self {
        let mut limiter = limiter_setup(number).start();
        let first_admin = limiter.admin;
        let first = limiter.upgrade(70);
        TwoProcesses {
            limiter,
            first,
            first_admin,
        }
    }

    /// Kills the second process without a shutdown.
    fn kill_second(&mut self) {
        kill(&mut self.limiter.child);
        self.limiter.admin = self.first_admin;
    }
}

impl Drop for TwoProcesses {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.first.kill();
        let _ = self.first.wait();
    }
}

#[test]
fn maintenance_ordered_at_the_first_process_holds_for_both() {
    let processes = TwoProcesses::start(27);
    let disabled = call_admin(processes.first_admin, "PUT", "/servers/disable", TOY_HOST);
    assert_eq!(disabled, 200);
    wait_until_both_reject(&processes.limiter);
}

#[test]
fn draining_ordered_at_the_second_process_holds_for_the_first_which_may_end_it() {
    let processes = TwoProcesses::start(30);
    assert_eq!(processes.limiter.call_admin("PUT", "/drain", ""), 200);
    wait_until_readiness_is(processes.first_admin, 503, ORDER_TIMEOUT);
    let undrained = call_admin(processes.first_admin, "PUT", "/undrain", "");
    assert_eq!(undrained, 200);
}

/// Orders that the second process received hold at the first, which continues to serve and to accept orders.
#[test]
fn first_process_goes_on_when_the_second_is_killed() {
    let mut processes = TwoProcesses::start(31);
    let disabled = call_admin(processes.first_admin, "PUT", "/servers/disable", TOY_HOST);
    assert_eq!(disabled, 200);
    wait_until_both_reject(&processes.limiter);
    assert_eq!(processes.limiter.call_admin("PUT", "/drain", ""), 200);
    wait_until_readiness_is(processes.first_admin, 503, ORDER_TIMEOUT);
    let undrained = call_admin(processes.first_admin, "PUT", "/undrain", "");
    assert_eq!(undrained, 200);
    processes.kill_second();
    let enabled = processes
        .limiter
        .call_admin("PUT", "/servers/enable", TOY_HOST);
    assert_eq!(enabled, 200);
    wait_until_served_again(&processes.limiter);
}

/// A process that was killed is no successor: at its shutdown the first process still accepts connections for a while.
#[test]
fn first_process_ends_as_if_alone_when_the_second_was_killed() {
    let mut processes = TwoProcesses::start(32);
    processes.kill_second();
    terminate(&processes.first);
    assert_eq!(processes.limiter.answer(PING), "+PONG\r\n");
    assert!(processes.first.wait().expect("the process ends").success());
}

/// A first process that holds more than its half of the connections when the second starts accepts no more for now. At
/// its shutdown the clients that wait in its accept queue are served nevertheless.
#[test]
fn clients_waiting_for_a_crowded_process_are_served_as_it_ends() {
    let mut limiter = limiter_setup(29)
        .with_config(|text| with_few_sockets(&with_long_deadline(text)))
        .start();
    let _busy: Vec<TcpStream> = (100..140)
        .map(|id| limiter.connect_with_pending_request(id))
        .collect();
    let first_admin = limiter.admin;
    let mut first = limiter.upgrade(71);
    // Once an order to the second process has reached the first, the first knows of the second and keeps to its half.
    assert_eq!(limiter.call_admin("PUT", "/drain", ""), 200);
    wait_until_readiness_is(first_admin, 503, ANSWER_TIMEOUT);
    assert_eq!(limiter.call_admin("PUT", "/undrain", ""), 200);
    wait_until_readiness_is(first_admin, 200, ANSWER_TIMEOUT);
    std::thread::scope(|scope| {
        let began = Instant::now();
        let waiting: Vec<_> = (0..20)
            .map(|_| scope.spawn(|| limiter.answer(PING)))
            .collect();
        // The second process serves some of the clients; the others wait in the queue of the first.
        terminate(&first);
        for client in waiting {
            assert_eq!(client.join().expect("the client is answered"), "+PONG\r\n");
        }
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "after {:?}",
            began.elapsed()
        );
    });
    kill(&mut first);
}

/// Maintenance ordered at the earlier process holds at the new one, and an order to the new one ends it.
#[test]
fn maintenance_holds_over_a_new_version() {
    let mut limiter = limiter_setup(24).start();
    let disabled = limiter.call_admin("PUT", "/servers/disable", TOY_HOST);
    assert_eq!(disabled, 200);
    kill(&mut limiter.upgrade(60));
    let answer = limiter.answer(&request("Q.ASK", 1, CHECK_FACTS, ""));
    assert!(answer.starts_with("-BUSY"), "{answer}");
    let enabled = limiter.call_admin("PUT", "/servers/enable", TOY_HOST);
    assert_eq!(enabled, 200);
    wait_until_served_again(&limiter);
}

/// Replaces a limiter by a new version that starts while discovery does not answer; returns the listener that stands in
/// for discovery.
fn upgrade_without_discovery(limiter: &mut Limiter) -> TcpListener {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    limiter.discovery = silent.local_addr().expect("the listener has an address");
    kill(&mut limiter.upgrade(72));
    silent
}

#[test]
fn new_version_serves_by_the_handed_over_list() {
    let mut limiter = limiter_setup(39).start();
    let answer = limiter.answer(&request("Q.ASK", 1, CHECK_FACTS, ""));
    assert_eq!(answer, served(1));
    let _silent = upgrade_without_discovery(&mut limiter);
    let answer = limiter.answer(&request("Q.ASK", 2, CHECK_FACTS, ""));
    assert_eq!(answer, served(2));
}

#[test]
fn new_version_removes_the_handoff_that_it_took() {
    let mut limiter = limiter_setup(40).start();
    let _silent = upgrade_without_discovery(&mut limiter);
    let is_handoff_file = |file: &DirEntry| {
        let path = file.path();
        let suffix = path.extension();
        suffix.is_some_and(|suffix| suffix == "heritage" || suffix == "draft")
    };
    let files = std::fs::read_dir(&limiter.folder).expect("the folder exists");
    assert_eq!(files.flatten().filter(is_handoff_file).count(), 0);
}
