//! Tests of races between calls or answers and timeouts, address changes and failed connections.

use super::answer::{parse_answer, CallOutcome};
use super::call_queue::CallQueue;
use super::link::Link;
use super::start;
use crate::api::{Event, Outcome};
use crate::net::task::spawn;
use crate::net::tests::{next_event, with_limiter, BoundService};
use crate::net::Limiter;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// The time for which the counter keeps a name, in nanoseconds.
const KEEP_FOR: u64 = 4_000_000_000;
/// The end of a command with [`KEEP_FOR`].
const COMMAND_END: &[u8] = b"4000\r\n";

/// Runs a test on a limiter with a scripted counter, whose calls time out after `call_timeout`.
fn with_counter<F: Future<Output = ()>>(
    call_timeout: Duration,
    test: impl FnOnce(Rc<Limiter>, ScriptedCounter) -> F,
) {
    let service = BoundService::bind();
    let address = service.address();
    let call_timeout = format!("\"counterTimeoutNs\": {}", call_timeout.as_nanos());
    let changes = [
        ("127.0.0.1:7002", address.as_str()),
        ("\"counterTimeoutNs\": 30000000", call_timeout.as_str()),
    ];
    with_limiter(&changes, |limiter| {
        let listener = service.into_listener();
        test(limiter, ScriptedCounter { listener })
    });
}

/// A counter server whose answers are determined by the test.
struct ScriptedCounter {
    listener: TcpListener,
}

impl ScriptedCounter {
    async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        ScriptedCounter {
            listener: listener.expect("a port is free"),
        }
    }

    async fn accept(&self) -> CounterStream {
        let (stream, _) = self.listener.accept().await.expect("the limiter connects");
        CounterStream { stream }
    }
}

/// The counter's end of a connection.
struct CounterStream {
    stream: TcpStream,
}

impl CounterStream {
    /// Reads until `count` complete calls have been received.
    async fn read_calls(&mut self, count: usize) {
        let mut bytes = Vec::new();
        while bytes.windows(6).filter(|six| six == b"ADDGET").count() < count
            || !bytes.ends_with(COMMAND_END)
        {
            let received = self.stream.read_buf(&mut bytes).await;
            assert!(received.expect("the limiter writes") > 0);
        }
    }

    async fn answer(&mut self, bytes: &[u8]) {
        let written = self.stream.write_all(bytes).await;
        written.expect("the limiter reads");
    }

    /// Waits until the limiter has closed the connection.
    async fn assert_closed(&mut self) {
        let received = self.stream.read(&mut [0]).await;
        assert_eq!(received.expect("an orderly end"), 0);
    }
}

fn call(limiter: &Rc<Limiter>, amount: f64) {
    limiter.counter().call("q7.1".to_owned(), amount, KEEP_FOR);
}

/// Starts the link of the first queue that contains calls, and returns the queue.
fn start_link(limiter: &Rc<Limiter>) -> Rc<CallQueue> {
    let client = limiter.counter();
    let mut queues = client.queues.iter();
    let queue = queues
        .find(|queue| !queue.is_empty())
        .expect("a queue with calls");
    spawn(Link::new(client.clone(), queue.clone()).run());
    queue.clone()
}

/// Returns the result of the next call that is reported to the engine.
async fn next_outcome(limiter: &Rc<Limiter>) -> CallOutcome {
    match next_event(limiter).await {
        Event::CounterReplied { outcome, total, .. } => CallOutcome { outcome, total },
        other => panic!("{other:?}"),
    }
}

/// Returns the result of a successful call.
fn good(total: f64) -> CallOutcome {
    CallOutcome {
        outcome: Outcome::Good,
        total,
    }
}

/// Late answers are matched to the calls that timed out, and not to the calls that are waiting now.
#[test]
fn late_answers_are_matched_to_their_calls() {
    let call_timeout = Duration::from_millis(200);
    with_counter(call_timeout, |limiter, counter| async move {
        call(&limiter, 1.0);
        call(&limiter, -2.5);
        start_link(&limiter);
        let mut stream = counter.accept().await;
        stream.read_calls(2).await;
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::Timeout);
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::Timeout);
        call(&limiter, 3.0);
        stream.read_calls(1).await;
        stream
            .answer(b"$1\r\n1\r\n$4\r\n-1.5\r\n$3\r\n1.5\r\n")
            .await;
        assert_eq!(next_outcome(&limiter).await, good(1.5));
    });
}

/// When a connection ends, its call times out because its amount may have been added. The next connection serves
/// further calls, even after the counter rejects one.
#[test]
fn link_continues_on_a_new_connection() {
    let call_timeout = Duration::from_millis(200);
    with_counter(call_timeout, |limiter, counter| async move {
        call(&limiter, 3.0);
        start_link(&limiter);
        let mut stream = counter.accept().await;
        stream.read_calls(1).await;
        stream.answer(b"$1\r\n3\r\n").await;
        assert_eq!(next_outcome(&limiter).await, good(3.0));
        call(&limiter, 4.0);
        stream.read_calls(1).await;
        drop(stream);
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::Timeout);
        let mut stream = counter.accept().await;
        call(&limiter, 5.0);
        call(&limiter, 6.0);
        stream.read_calls(2).await;
        stream.answer(b"-BUSY\r\n$1\r\n6\r\n").await;
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::Rejected);
        assert_eq!(next_outcome(&limiter).await, good(6.0));
    });
}

/// Calls that were never sent are reported as not added once they time out.
#[test]
fn calls_without_a_connection_are_reported_as_not_added() {
    let changes = [("127.0.0.1:7002", "127.77.0.21:7002")];
    with_limiter(&changes, |limiter| async move {
        start(limiter.counter());
        call(&limiter, 1.0);
        call(&limiter, 2.0);
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::ConnectFailed);
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::ConnectFailed);
        let queues = &limiter.counter().queues;
        assert!(queues.iter().all(|queue| queue.is_empty()));
    });
}

/// After an address change, calls already written are answered on the old connection, and reported before later calls.
#[test]
fn address_change_keeps_the_order_and_loses_no_call() {
    let call_timeout = Duration::from_secs(2);
    with_counter(call_timeout, |limiter, old_counter| async move {
        let new_counter = ScriptedCounter::bind().await;
        call(&limiter, 1.0);
        start_link(&limiter);
        let mut old_stream = old_counter.accept().await;
        old_stream.read_calls(1).await;
        let new_address = new_counter.listener.local_addr().ok();
        limiter
            .reloader()
            .addresses()
            .send_modify(|held| held.counter = new_address);
        call(&limiter, 2.0);
        let mut new_stream = new_counter.accept().await;
        new_stream.read_calls(1).await;
        new_stream.answer(b"$1\r\n3\r\n").await;
        sleep(limiter.limits().reconnect_pause).await;
        assert_eq!(
            limiter.engine().take_event(),
            None,
            "the first call has no answer yet"
        );
        old_stream.answer(b"$1\r\n1\r\n").await;
        assert_eq!(next_outcome(&limiter).await, good(1.0));
        assert_eq!(next_outcome(&limiter).await, good(3.0));
        old_stream.assert_closed().await;
    });
}

/// Only the counter's own error codes are parsed as a rejection, which implies that nothing was added.
#[test]
fn answers_are_parsed_and_malformed_ones_refused() {
    with_limiter(&[], |limiter| async move {
        let read = |bytes: &str| parse_answer(bytes.as_bytes(), limiter.limits());
        for (bytes, outcome, total) in [
            ("$4\r\n-1.5\r\n$1\r\n2\r\n", Outcome::Good, -1.5),
            ("-BUSY\r\n", Outcome::Rejected, 0.0),
            ("-ERR no such call\r\n", Outcome::Rejected, 0.0),
        ] {
            let answer = read(bytes).expect("sound").expect("complete");
            assert_eq!(answer.outcome, CallOutcome { outcome, total });
        }
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

/// A silent connection is kept while no other one is answered, and fails early once another one is answered.
#[test]
fn silent_connection_fails_early_once_another_is_answered() {
    let call_timeout = Duration::from_millis(50);
    with_counter(call_timeout, |limiter, counter| async move {
        call(&limiter, 1.0);
        let queue = start_link(&limiter);
        let mut stream = counter.accept().await;
        stream.read_calls(1).await;
        stream.answer(b"$1\r\n1\r\n").await;
        assert_eq!(next_outcome(&limiter).await, good(1.0));
        call(&limiter, 1.0);
        stream.read_calls(1).await;
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::Timeout);
        let second = timeout(4 * call_timeout, counter.accept()).await;
        assert!(
            second.is_err(),
            "no second connection while no other is answered"
        );
        queue.last_answered.set(Some(Instant::now()));
        call(&limiter, 1.0);
        let began = Instant::now();
        counter.accept().await;
        assert!(began.elapsed() < limiter.limits().counter.silence_timeout / 2);
    });
}

/// A connection without a first answer is kept for the whole silence timeout, even if other connections are answered
/// and the previous connection was answered.
#[test]
fn connection_without_a_first_answer_does_not_fail_early() {
    let call_timeout = Duration::from_millis(50);
    with_counter(call_timeout, |limiter, counter| async move {
        call(&limiter, 1.0);
        let queue = start_link(&limiter);
        let mut answered = counter.accept().await;
        answered.read_calls(1).await;
        answered.answer(b"$1\r\n1\r\n").await;
        assert_eq!(next_outcome(&limiter).await, good(1.0));
        drop(answered);
        let mut never_answered = counter.accept().await;
        call(&limiter, 1.0);
        never_answered.read_calls(1).await;
        let silence_timeout = limiter.limits().counter.silence_timeout;
        queue
            .last_answered
            .set(Some(Instant::now() + silence_timeout));
        let third = timeout(silence_timeout / 2, counter.accept()).await;
        assert!(
            third.is_err(),
            "a counter that never answers does not get ever more connections"
        );
    });
}

/// A malformed answer ends its connection immediately. Its call and the calls after it are each reported once, and the
/// next call is written to a new connection without a delay.
#[test]
fn malformed_answer_ends_the_connection_and_not_the_link() {
    let call_timeout = Duration::from_secs(1);
    with_counter(call_timeout, |limiter, counter| async move {
        (0..3).for_each(|_| call(&limiter, 1.0));
        start_link(&limiter);
        let mut stream = counter.accept().await;
        stream.read_calls(3).await;
        let began = Instant::now();
        stream.answer(b"$1\r\n1\r\n*2\r\n").await;
        assert_eq!(next_outcome(&limiter).await, good(1.0));
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::Timeout);
        assert_eq!(next_outcome(&limiter).await.outcome, Outcome::Timeout);
        assert!(began.elapsed() < call_timeout, "before their timeout");
        call(&limiter, 4.0);
        let mut stream = counter.accept().await;
        stream.read_calls(1).await;
        stream.answer(b"$1\r\n7\r\n").await;
        assert_eq!(next_outcome(&limiter).await, good(7.0));
    });
}
