//! Calls and answers that cross with time-outs, moves and broken connections.

use super::answer::{parse_answer, CallOutcome};
use super::call_queue::CallQueue;
use super::link::Link;
use super::start;
use crate::api::{Event, Outcome};
use crate::net::task::spawn;
use crate::net::tests::{next, with_limiter};
use crate::net::Limiter;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

async fn counted(limiter: &Rc<Limiter>) -> (Outcome, f64) {
    match next(limiter).await {
        Event::CounterReplied { outcome, total, .. } => (outcome, total),
        other => panic!("{other:?}"),
    }
}

/// Reads until as many calls have come.
async fn calls(stream: &mut TcpStream, count: usize) {
    let mut bytes = Vec::new();
    while bytes.windows(6).filter(|six| six == b"ADDGET").count() < count
        || !bytes.ends_with(b"4000\r\n")
    {
        assert!(
            stream
                .read_buf(&mut bytes)
                .await
                .expect("the limiter writes")
                > 0
        );
    }
}

fn call(limiter: &Rc<Limiter>, amount: f64) {
    limiter
        .counter()
        .call("q7.1".to_owned(), amount, 4_000_000_000);
}

async fn bind(address: &str) -> TcpListener {
    let bound = TcpListener::bind(address).await;
    bound.expect("the address is free")
}

async fn answer(stream: &mut TcpStream, bytes: &[u8]) {
    let written = stream.write_all(bytes).await;
    written.expect("the limiter reads");
}

/// Starts the link of the calls that were made; its queue.
fn start_link(limiter: &Rc<Limiter>) -> Rc<CallQueue> {
    let client = limiter.counter();
    let mut queues = client.queues.iter();
    let queue = queues
        .find(|queue| !queue.is_empty())
        .expect("a queue with calls");
    spawn(Link::new(client.clone(), queue.clone()).run());
    queue.clone()
}

/// Answers that come late belong to the calls they were late for, not to those that wait now.
#[test]
fn late_answers_are_dropped_by_their_place() {
    let changes = [
        ("127.0.0.1:7002", "127.77.0.20:7002"),
        (
            "\"counterTimeoutNs\": 30000000",
            "\"counterTimeoutNs\": 200000000",
        ),
    ];
    with_limiter(&changes, |limiter| async move {
        let listener = bind("127.77.0.20:7002").await;
        // Made before there is a connection; of the others' connections none comes into it.
        call(&limiter, 1.0);
        call(&limiter, -2.5);
        start_link(&limiter);
        let (mut stream, _) = listener.accept().await.expect("the limiter connects");
        calls(&mut stream, 2).await;
        assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
        assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
        call(&limiter, 3.0);
        calls(&mut stream, 1).await;
        answer(&mut stream, b"$1\r\n1\r\n$4\r\n-1.5\r\n$3\r\n1.5\r\n").await;
        assert_eq!(counted(&limiter).await, (Outcome::Good, 1.5));
        // A connection that ends takes with it what may have been added.
        call(&limiter, 4.0);
        calls(&mut stream, 1).await;
        drop(stream);
        assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
        // Its successor serves on, also where the counter turns a call away.
        let (mut stream, _) = listener.accept().await.expect("the limiter connects again");
        call(&limiter, 5.0);
        call(&limiter, 6.0);
        calls(&mut stream, 2).await;
        answer(&mut stream, b"-BUSY\r\n$1\r\n6\r\n").await;
        assert_eq!(counted(&limiter).await.0, Outcome::Rejected);
        assert_eq!(counted(&limiter).await, (Outcome::Good, 6.0));
    });
}

/// What was never on its way was not added, and is told so, in time.
#[test]
fn without_a_connection_nothing_is_added() {
    with_limiter(
        &[("127.0.0.1:7002", "127.77.0.21:7002")],
        |limiter| async move {
            start(limiter.counter());
            call(&limiter, 1.0);
            call(&limiter, 2.0);
            assert_eq!(counted(&limiter).await.0, Outcome::ConnectFailed);
            assert_eq!(counted(&limiter).await.0, Outcome::ConnectFailed);
            assert!(limiter
                .counter()
                .queues
                .iter()
                .all(|queue| queue.is_empty()));
        },
    );
}

/// Calls written to a counter that has moved are waited for there, and told before those made after them.
#[test]
fn a_move_keeps_the_order_and_loses_no_call() {
    let changes = [
        ("127.0.0.1:7002", "127.77.0.22:7002"),
        (
            "\"counterTimeoutNs\": 30000000",
            "\"counterTimeoutNs\": 2000000000",
        ),
    ];
    with_limiter(&changes, |limiter| async move {
        let old = bind("127.77.0.22:7002").await;
        let new = bind("127.77.0.22:7003").await;
        call(&limiter, 1.0);
        start_link(&limiter);
        let (mut before, _) = old.accept().await.expect("the limiter connects");
        calls(&mut before, 1).await;
        limiter
            .reloader()
            .addresses()
            .send_modify(|held| held.counter = new.local_addr().ok());
        call(&limiter, 2.0);
        let (mut after, _) = new
            .accept()
            .await
            .expect("the limiter connects to the new address");
        calls(&mut after, 1).await;
        answer(&mut after, b"$1\r\n3\r\n").await;
        tokio::time::sleep(limiter.limits().reconnect_pause).await;
        assert_eq!(
            limiter.engine().take_event(),
            None,
            "the first call has no answer yet"
        );
        answer(&mut before, b"$1\r\n1\r\n").await;
        assert_eq!(counted(&limiter).await, (Outcome::Good, 1.0));
        assert_eq!(counted(&limiter).await, (Outcome::Good, 3.0));
        // The old connection ends once nothing is awaited on it.
        assert_eq!(before.read(&mut [0]).await.expect("an end"), 0);
    });
}

/// Only a refusal that the counter words proves that nothing was added.
#[test]
fn what_tells_nothing_may_have_been_added() {
    with_limiter(&[], |limiter| async move {
        let read = |bytes: &str| parse_answer(bytes.as_bytes(), limiter.limits());
        let whole = |bytes: &str| {
            let CallOutcome { outcome, total } =
                read(bytes).expect("sound").expect("whole").outcome;
            (outcome, total)
        };
        assert_eq!(whole("$4\r\n-1.5\r\n$1\r\n2\r\n"), (Outcome::Good, -1.5));
        assert_eq!(whole("-BUSY\r\n"), (Outcome::Rejected, 0.0));
        assert_eq!(whole("-ERR no such call\r\n"), (Outcome::Rejected, 0.0));
        for part in ["", "$", "$4\r\n-1", "-BU"] {
            assert!(read(part).expect("sound").is_none(), "{part:?}");
        }
        let long = "-".to_owned() + &"x".repeat(limiter.limits().counter.max_answer_bytes);
        for malformed in [
            "*2\r\n",
            ":5\r\n",
            "+OK\r\n",
            "$-1\r\n",
            "$0\r\n\r\n",
            "$3\r\nNaN\r\n",
            "-BUSYBODY\r\n",
            &long,
        ] {
            assert!(read(malformed).is_err(), "{malformed:?}");
        }
    });
}

/// A connection that became silent is left once others were answered while it was not; one whose silence no other
/// connection contradicts is kept for its time, as is one that was never answered.
#[test]
fn a_connection_that_others_outlast_is_left_early() {
    let changes = [
        ("127.0.0.1:7002", "127.77.0.24:7002"),
        (
            "\"counterTimeoutNs\": 30000000",
            "\"counterTimeoutNs\": 50000000",
        ),
    ];
    with_limiter(&changes, |limiter| async move {
        let listener = bind("127.77.0.24:7002").await;
        call(&limiter, 1.0);
        let queue = start_link(&limiter);
        let (mut stream, _) = listener.accept().await.expect("the limiter connects");
        calls(&mut stream, 1).await;
        answer(&mut stream, b"$1\r\n1\r\n").await;
        assert_eq!(counted(&limiter).await, (Outcome::Good, 1.0));
        // No connection is answered: the counter may be at fault, and this one is kept.
        call(&limiter, 1.0);
        calls(&mut stream, 1).await;
        assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
        let wait = 4 * limiter.limits().counter.call_timeout.get();
        let second = timeout(wait, listener.accept()).await;
        assert!(
            second.is_err(),
            "no second connection while no other is answered"
        );
        // Another link's answer comes in: this one alone is at fault.
        queue.last_answered.set(Some(Instant::now()));
        call(&limiter, 1.0);
        let began = Instant::now();
        let (mut stream, _) = listener.accept().await.expect("the limiter connects again");
        assert!(began.elapsed() < limiter.limits().counter.silence_timeout / 2);
        // Never answered: the new one is kept for its whole time, whoever else is answered.
        call(&limiter, 1.0);
        calls(&mut stream, 1).await;
        let allowed = limiter.limits().counter.silence_timeout;
        queue.last_answered.set(Some(Instant::now() + allowed));
        let third = timeout(allowed / 2, listener.accept()).await;
        assert!(
            third.is_err(),
            "a counter that never answers is not asked for ever more connections"
        );
    });
}

/// A malformed answer ends its connection at once: its call and those behind it are each reported once, and the
/// next call goes to a new connection without a pause.
#[test]
fn a_malformed_answer_ends_the_connection_and_not_the_link() {
    let changes = [
        ("127.0.0.1:7002", "127.77.0.23:7002"),
        (
            "\"counterTimeoutNs\": 30000000",
            "\"counterTimeoutNs\": 1000000000",
        ),
    ];
    with_limiter(&changes, |limiter| async move {
        let listener = bind("127.77.0.23:7002").await;
        (0..3).for_each(|_| call(&limiter, 1.0));
        start_link(&limiter);
        let (mut stream, _) = listener.accept().await.expect("the limiter connects");
        calls(&mut stream, 3).await;
        let began = Instant::now();
        answer(&mut stream, b"$1\r\n1\r\n*2\r\n").await;
        assert_eq!(counted(&limiter).await, (Outcome::Good, 1.0));
        assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
        assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
        assert!(
            began.elapsed() < limiter.limits().counter.call_timeout.get(),
            "told before their time was over"
        );
        call(&limiter, 4.0);
        let (mut stream, _) = listener.accept().await.expect("the limiter connects again");
        calls(&mut stream, 1).await;
        answer(&mut stream, b"$1\r\n7\r\n").await;
        assert_eq!(counted(&limiter).await, (Outcome::Good, 7.0));
    });
}
