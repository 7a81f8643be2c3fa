//! Tests of commands that a client sends behind a streamed value.

use super::*;
use crate::net::streaming_body::StreamingBody;

const VALUE_BYTES: usize = 100_000;
const WINDOW_BYTES: usize = 8 << 10;
const HEAD: &[u8] = b"$100000\r\n";

fn body(limiter: &Limiter) -> Rc<StreamingBody> {
    let memory = limiter.pipeline().memory();
    let reservation = memory.hold(Owner::StreamedValues, WINDOW_BYTES);
    StreamingBody::new(VALUE_BYTES, WINDOW_BYTES, reservation)
}

/// Returns the command of one request.
fn request(id: u64) -> Vec<u8> {
    let commands = requests(1);
    let text = String::from_utf8(commands).expect("it is text");
    let text = text.replace(&format!("{:016x}", 0), &format!("{id:016x}"));
    text.into_bytes()
}

async fn read_exact(peer: BlockingStream, length: usize) -> (BlockingStream, Vec<u8>) {
    let reading = tokio::task::spawn_blocking(move || {
        let mut peer = peer;
        let mut received = vec![0; length];
        peer.read_exact(&mut received).map(|()| (peer, received))
    });
    reading.await.expect("it ends").expect("all is received")
}

async fn wait_for_requests(limiter: &Limiter, count: usize) {
    while limiter.engine().open_request_count() < count {
        yield_now().await;
    }
}

/// A client whose connection is served, and which has received the head of a value and all that was written of it.
async fn client_within_a_value(limiter: &Rc<Limiter>, body: &Rc<StreamingBody>) -> BlockingStream {
    let Client { mut peer, stream } = Client::connect_idle().await;
    let downstream = downstream(limiter);
    spawn(async move { serve(&downstream, stream, Admission::Served).await });
    peer.write_all(&request(0)).expect("the socket takes it");
    wait_for_requests(limiter, 1).await;
    body.write(b"start");
    complete::answer(
        limiter.pipeline(),
        RequestId(0),
        Answer::Streaming(body.clone()),
    );
    let (peer, received) = read_exact(peer, HEAD.len() + 5).await;
    assert!(received.starts_with(HEAD));
    peer
}

/// The client's wait begins when it sends its command, not when the value before it began.
#[test]
fn command_after_a_value_has_its_whole_wait() {
    const STREAMED_FOR: Duration = Duration::from_millis(400);
    const MAX_DELAY: Duration = Duration::from_millis(300);
    with_limiter(&[], |limiter| async move {
        let body = body(&limiter);
        let peer = client_within_a_value(&limiter, &body).await;
        while limiter.engine().take_event().is_some() {}
        let began = Instant::now();
        while began.elapsed() < STREAMED_FOR {
            yield_now().await;
        }
        body.complete();
        let (mut peer, end) = read_exact(peer, 2).await;
        assert_eq!(end, b"\r\n");
        peer.write_all(&request(1)).expect("the socket takes it");
        wait_for_requests(&limiter, 1).await;
        let event = limiter.engine().take_event();
        let Some(Event::Request { budget, .. }) = event else {
            panic!("{event:?}");
        };
        let client_wait = Duration::from_millis(900);
        assert!(Duration::from_nanos(budget) + MAX_DELAY > client_wait);
    });
}

/// Gives all other tasks many turns, and lets the runtime look at the sockets.
async fn let_connections_run() {
    for _ in 0..1_000 {
        yield_now().await;
    }
}

/// A request sent within a streamed value was read, and dropped when the value's host broke off (incident
/// requests-behind-a-cut-value).
#[test]
fn command_within_a_cut_value_is_left_unread() {
    with_limiter(&[], |limiter| async move {
        let body = body(&limiter);
        let mut peer = client_within_a_value(&limiter, &body).await;
        peer.write_all(&request(1)).expect("the socket takes it");
        let_connections_run().await;
        body.fail();
        let ended = tokio::task::spawn_blocking(move || peer.read(&mut [0; 16]).unwrap_or(0));
        assert_eq!(ended.await.expect("it ends"), 0, "nothing but the end");
        let mut events = std::iter::from_fn(|| limiter.engine().take_event());
        assert!(events.all(|event| !matches!(
            event,
            Event::Request {
                id: RequestId(1),
                ..
            }
        )));
    });
}

/// A command sent within a value is handled once the value is complete. The time for which it may have been unread counts
/// for its client's wait.
#[test]
fn command_within_a_value_is_handled_behind_it() {
    const STREAMED_FOR: Duration = Duration::from_millis(20);
    with_limiter(&[], |limiter| async move {
        let body = body(&limiter);
        let mut peer = client_within_a_value(&limiter, &body).await;
        let_connections_run().await;
        while limiter.engine().take_event().is_some() {}
        let began = Instant::now();
        peer.write_all(&request(1)).expect("the socket takes it");
        while began.elapsed() < STREAMED_FOR {
            yield_now().await;
        }
        assert_eq!(limiter.engine().open_request_count(), 0);
        body.complete();
        wait_for_requests(&limiter, 1).await;
        let event = limiter.engine().take_event();
        let Some(Event::Request { budget, .. }) = event else {
            panic!("{event:?}");
        };
        let client_wait = Duration::from_millis(900);
        assert!(Duration::from_nanos(budget) + STREAMED_FOR <= client_wait);
    });
}

/// The connection was closed for a value that failed before its client had received any of it.
#[test]
fn value_that_fails_before_its_turn_is_answered_as_failed() {
    with_limiter(&[], |limiter| async move {
        let Client { mut peer, stream } = Client::connect_idle().await;
        let served_downstream = downstream(&limiter);
        spawn(async move { serve(&served_downstream, stream, Admission::Served).await });
        peer.write_all(&requests(2)).expect("the socket takes them");
        wait_for_requests(&limiter, 2).await;
        let body = body(&limiter);
        body.write(b"start");
        let pipeline = limiter.pipeline();
        complete::answer(pipeline, RequestId(1), Answer::Streaming(body.clone()));
        body.fail();
        complete::answer(pipeline, RequestId(0), Answer::Failed);
        let expected = b"-ERR failed\r\n".repeat(2);
        let (_peer, received) = read_exact(peer, expected.len()).await;
        assert_eq!(received, expected);
    });
}

/// A shutdown waits for a response that the client has not read to its end, although the host has sent all of it.
#[test]
fn response_is_in_progress_until_its_client_has_read_it() {
    // More than the sockets can buffer.
    const BYTES: usize = 32 << 20;
    with_limiter(&[], |limiter| async move {
        let Client { mut peer, stream } = Client::connect_idle().await;
        let served_downstream = downstream(&limiter);
        spawn(async move { serve(&served_downstream, stream, Admission::Served).await });
        peer.write_all(&request(0)).expect("the socket takes it");
        wait_for_requests(&limiter, 1).await;
        assert_eq!(limiter.shutdown().responses(), 0);
        let value = vec![b'v'; BYTES];
        complete::answer(
            limiter.pipeline(),
            RequestId(0),
            Answer::Served(value.into()),
        );
        let_connections_run().await;
        assert_eq!(limiter.shutdown().responses(), 1);
        let length = format!("${BYTES}\r\n").len() + BYTES + 2;
        let (_peer, _) = read_exact(peer, length).await;
        let_connections_run().await;
        assert_eq!(limiter.shutdown().responses(), 0);
    });
}
