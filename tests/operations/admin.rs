//! The admin interface under stalled callers and load, and maintenance of a host.

use crate::limiter_setup;
use crate::{wait_until_served_again, TOY};
use quartzcleat_test_support::commands::{request, send, served, CHECK_FACTS, PING};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Callers that finish no call hold nobody up, and no bad call changes anything.
#[test]
fn admin_interface_answers_while_callers_stall_and_bad_requests_change_nothing() {
    let limiter = limiter_setup(20).start();
    let stalled: Vec<_> = (0..50)
        .map(|n| {
            let mut caller = TcpStream::connect(limiter.admin).expect("the console listens");
            caller
                .write_all(&b"PUT /drain HTTP/1.1\r\n"[..n % 20])
                .expect("the console reads");
            caller
        })
        .collect();
    let began = Instant::now();
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
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "after {:?}",
        began.elapsed()
    );
    assert_eq!(
        send(
            &mut limiter.connect(),
            &(request("Q.ASK", 1, CHECK_FACTS, "") + PING),
            2
        ),
        served(1) + "+PONG\r\n"
    );
    drop(stalled);
}

/// From the yes on nothing goes to the server, however often it is said; one call back ends it.
#[test]
fn host_in_maintenance_gets_nothing_until_it_is_enabled() {
    let limiter = limiter_setup(21).start();
    let mut client = limiter.connect();
    assert_eq!(
        send(&mut client, &request("Q.ASK", 1, CHECK_FACTS, ""), 1),
        served(1)
    );
    assert_eq!(
        (
            limiter.call_admin("PUT", "/servers/disable", TOY),
            limiter.call_admin("PUT", "/servers/disable", TOY)
        ),
        (200, 200)
    );
    let answer = send(&mut client, &request("Q.ASK", 2, CHECK_FACTS, ""), 1);
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert_eq!(limiter.call_admin("PUT", "/servers/enable", TOY), 200);
    wait_until_served_again(&limiter);
}

/// The console answers within its second however busy the limiter is, while fifty callers stall.
#[test]
fn admin_interface_answers_while_the_limiter_is_saturated() {
    let limiter = limiter_setup(28).start();
    let stalled: Vec<_> = (0..50)
        .map(|_| TcpStream::connect(limiter.admin).expect("it listens"))
        .collect();
    let (over, address) = (AtomicBool::new(false), limiter.address);
    std::thread::scope(|scope| {
        for number in 1..=6_u64 {
            let over = &over;
            scope.spawn(move || {
                let mut id = number << 40;
                let mut stream = TcpStream::connect(address).expect("it listens");
                while !over.load(Ordering::Relaxed) {
                    let bytes: String = (0..200)
                        .map(|n| request("Q.ASK", id + n, CHECK_FACTS, ""))
                        .collect();
                    id += 200;
                    send(&mut stream, &bytes, 200);
                }
            });
        }
        let mut longest = Duration::ZERO;
        for _ in 0..20 {
            let began = Instant::now();
            assert_eq!(limiter.call_admin("GET", "/ready", ""), 200);
            longest = longest.max(began.elapsed());
        }
        over.store(true, Ordering::Relaxed);
        println!("the longest of 20 calls took {longest:?}");
        assert!(longest < Duration::from_secs(1), "{longest:?}");
    });
    drop(stalled);
}
