//! Draining the clients by an operator.

use crate::limiter_setup;
use quartzcleat_test_support::commands::{request, send, served, CHECK_FACTS, PING};
use std::io::Read;
use std::time::{Duration, Instant};

/// Drained, it says no at once, serves who still comes, lets kept connections go, and is back at a word.
#[test]
fn draining_closes_connections_between_requests_and_ends_by_order() {
    let limiter = limiter_setup(22).start();
    let mut kept = limiter.connect();
    assert_eq!(
        send(&mut kept, &request("Q.ASK", 1, CHECK_FACTS, ""), 1),
        served(1)
    );
    let began = Instant::now();
    assert_eq!(limiter.call_admin("PUT", "/drain", ""), 200);
    assert_eq!(
        (
            send(&mut kept, PING, 1).as_str(),
            limiter.call_admin("GET", "/ready", "")
        ),
        ("-ERR draining\r\n", 503)
    );
    assert_eq!(
        send(
            &mut limiter.connect(),
            &request("Q.ASK", 2, CHECK_FACTS, ""),
            1
        ),
        served(2)
    );
    assert_eq!(kept.read(&mut [0]).expect("an end"), 0);
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "after {:?}",
        began.elapsed()
    );
    // Who comes all the same is heard once, and let go.
    let mut late = limiter.connect();
    assert_eq!(send(&mut late, PING, 1), "-ERR draining\r\n");
    assert_eq!(late.read(&mut [0]).expect("an end"), 0);
    assert_eq!(limiter.call_admin("PUT", "/undrain", ""), 200);
    let mut back = limiter.connect();
    assert_eq!(
        send(
            &mut back,
            &(PING.to_owned() + &request("Q.ASK", 3, CHECK_FACTS, "")),
            2
        ),
        "+PONG\r\n".to_owned() + &served(3)
    );
    assert_eq!(limiter.call_admin("GET", "/ready", ""), 200);
}
