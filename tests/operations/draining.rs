//! Tests of draining by an operator.

use crate::limiter_setup;
use quartzcleat_test_support::commands::{request, send, served, CHECK_FACTS, PING};
use quartzcleat_test_support::limiter::Limiter;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A limiter that is draining, and a connection that was opened before the order.
struct DrainingLimiter {
    limiter: Limiter,
    earlier_connection: TcpStream,
    ordered_at: Instant,
}

impl DrainingLimiter {
    /// Starts a limiter, serves one request on a connection, and orders draining.
    fn start(number: u8) -> Self {
        let limiter = limiter_setup(number).start();
        let mut earlier_connection = limiter.connect();
        let answer = send(
            &mut earlier_connection,
            &request("Q.ASK", 1, CHECK_FACTS, ""),
            1,
        );
        assert_eq!(answer, served(1));
        let ordered_at = Instant::now();
        assert_eq!(limiter.call_admin("PUT", "/drain", ""), 200);
        DrainingLimiter {
            limiter,
            earlier_connection,
            ordered_at,
        }
    }

    /// Waits until the limiter closes the earlier connection.
    fn wait_until_connections_close(&mut self) {
        assert_eq!(
            self.earlier_connection
                .read(&mut [0])
                .expect("the connection ends"),
            0
        );
    }
}

#[test]
fn draining_is_announced_to_pings_and_to_the_admin_interface_at_once() {
    let mut draining = DrainingLimiter::start(22);
    assert_eq!(
        send(&mut draining.earlier_connection, PING, 1),
        "-ERR draining\r\n"
    );
    assert_eq!(draining.limiter.call_admin("GET", "/ready", ""), 503);
}

#[test]
fn draining_limiter_serves_clients_that_still_come() {
    let draining = DrainingLimiter::start(33);
    let answer = draining
        .limiter
        .answer(&request("Q.ASK", 2, CHECK_FACTS, ""));
    assert_eq!(answer, served(2));
}

#[test]
fn draining_closes_kept_connections_within_2_s() {
    let mut draining = DrainingLimiter::start(34);
    draining.wait_until_connections_close();
    let elapsed = draining.ordered_at.elapsed();
    assert!(elapsed < Duration::from_secs(2), "after {elapsed:?}");
}

#[test]
fn connection_opened_late_gets_one_answer_and_is_closed() {
    let mut draining = DrainingLimiter::start(35);
    draining.wait_until_connections_close();
    let mut late = draining.limiter.connect();
    assert_eq!(send(&mut late, PING, 1), "-ERR draining\r\n");
    assert_eq!(late.read(&mut [0]).expect("the connection ends"), 0);
}

#[test]
fn undrained_limiter_accepts_clients_again() {
    let mut draining = DrainingLimiter::start(36);
    draining.wait_until_connections_close();
    let limiter = &draining.limiter;
    assert_eq!(limiter.call_admin("PUT", "/undrain", ""), 200);
    let commands = PING.to_owned() + &request("Q.ASK", 3, CHECK_FACTS, "");
    let answers = send(&mut limiter.connect(), &commands, 2);
    assert_eq!(answers, "+PONG\r\n".to_owned() + &served(3));
    assert_eq!(limiter.call_admin("GET", "/ready", ""), 200);
}
