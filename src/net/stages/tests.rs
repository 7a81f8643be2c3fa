//! Tests of races between the stages of a request, on real sockets.

use super::complete::Delivery;
use super::{admit, attempt, complete, dispatch, route};
use crate::api::{Action, Event, HostEntry, HostId, HostState, Nanos, Outcome, RequestId, Timer};
use crate::net::engine::tests::{attempt_order, no_reply, reply_to, request, RecordingFrontend};
use crate::net::engine::{Answer, AttemptOrder, HostCommand, Payload};
use crate::net::resp::upstream::tests::process_at;
use crate::net::resp::upstream::UpstreamConnection;
use crate::net::tests::{listening_host, next_event, with_limiter};
use crate::net::Limiter;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::{timeout, Instant};

const HOST: HostId = HostId(5);
const LONG: Duration = Duration::from_secs(30);

/// A host whose accept queue is full: another connection is established only once the host accepts one.
struct SlowHost {
    listener: TcpListener,
    address: SocketAddr,
    queued: Vec<TcpStream>,
}

async fn slow_host(limiter: &Rc<Limiter>) -> SlowHost {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("a valid address"))
        .expect("a port is free");
    let listener = socket.listen(0).expect("the socket listens");
    let address = listener.local_addr().expect("a local address");
    // A backlog of zero holds one connection.
    let queued = vec![TcpStream::connect(address)
        .await
        .expect("the accept queue has room for one connection")];
    let entry = HostEntry {
        host: HOST,
        state: HostState::Ready,
        ..HostEntry::default()
    };
    limiter.upstream().update_host(&entry, address);
    SlowHost {
        listener,
        address,
        queued,
    }
}

/// An attempt whose connection is being established, and the frontend of its request.
struct SlowAttempt {
    host: SlowHost,
    frontend: Rc<RecordingFrontend>,
}

/// Sends an attempt of a request to a host to which the connection is not yet established.
async fn send_to_slow_host(limiter: &Rc<Limiter>, begins_within: Duration) -> SlowAttempt {
    limiter.limits().connect_timeout.set(LONG);
    let host = slow_host(limiter).await;
    let frontend = Rc::new(RecordingFrontend::default());
    let mut slow_request = request(1);
    slow_request.wait = LONG;
    let requests = limiter.engine().requests();
    requests
        .borrow_mut()
        .open(reply_to(&frontend, 0), &mut slow_request, Instant::now());
    let order = AttemptOrder {
        begins_within: begins_within.as_nanos() as Nanos,
        ..attempt_order(1, HOST)
    };
    let call = requests.borrow_mut().begin_attempt(order, Instant::now());
    dispatch::send(
        limiter.pipeline(),
        call.expect("within the limit on attempts"),
    );
    yield_now().await;
    assert_eq!(
        limiter.upstream().connections_by_host().get(&HOST),
        Some(&1),
        "the connection is being established"
    );
    SlowAttempt { host, frontend }
}

/// Checks that the attempt ends with the expected outcome, and that the host, which now accepts, receives nothing.
async fn assert_nothing_sent(limiter: &Rc<Limiter>, mut host: SlowHost, expected: Outcome) {
    let ended = async {
        loop {
            if let Event::AttemptDone { outcome, .. } = next_event(limiter).await {
                return outcome;
            }
        }
    };
    let outcome = timeout(Duration::from_secs(5), ended)
        .await
        .expect("the attempt ends long before its deadline");
    assert_eq!(outcome, expected);
    while limiter.upstream().connections_by_host().contains_key(&HOST) {
        yield_now().await;
    }
    // The only connection in the accept queue is the one that filled it.
    let (mut first, _) = host
        .listener
        .accept()
        .await
        .expect("the queued connection is accepted");
    host.queued.clear();
    assert_eq!(first.read(&mut [0]).await.expect("end of stream"), 0);
    let (connected, accepted) =
        tokio::join!(TcpStream::connect(host.address), host.listener.accept());
    let (own, (_, from)) = (
        connected.expect("the accept queue has room again"),
        accepted.expect("the connection is accepted"),
    );
    assert_eq!(
        own.local_addr().expect("an address"),
        from,
        "no other connection was queued"
    );
}

/// The client disconnects while the connection for its request is being established: no attempt begins.
#[test]
fn abandoned_request_is_not_sent_once_its_connection_opens() {
    with_limiter(&[], |limiter| async move {
        let SlowAttempt { host, frontend } = send_to_slow_host(&limiter, LONG).await;
        complete::abandon(limiter.pipeline(), RequestId(1));
        assert_nothing_sent(&limiter, host, Outcome::Cancelled).await;
        assert_eq!(*frontend.0.borrow(), []);
    });
}

/// A request is answered while the connection for it is being established: no attempt begins, and the answer is final.
#[test]
fn answered_request_is_not_sent_once_its_connection_opens() {
    with_limiter(&[], |limiter| async move {
        let SlowAttempt { host, frontend } = send_to_slow_host(&limiter, LONG).await;
        let delivery = complete::answer(limiter.pipeline(), RequestId(1), Answer::Failed);
        assert_eq!(delivery, Delivery::Delivered);
        assert_nothing_sent(&limiter, host, Outcome::Cancelled).await;
        assert_eq!(*frontend.0.borrow(), [(0, Answer::Failed)]);
    });
}

/// The time to begin an attempt runs out while its connection is being established: the attempt never runs.
#[test]
fn late_attempt_does_not_begin_once_its_connection_opens() {
    with_limiter(&[], |limiter| async move {
        let SlowAttempt { host, frontend } =
            send_to_slow_host(&limiter, Duration::from_millis(20)).await;
        assert_nothing_sent(&limiter, host, Outcome::ConnectFailed).await;
        assert_eq!(
            *frontend.0.borrow(),
            [],
            "the engine, not the pipeline, decides on a retry"
        );
    });
}

/// The time to begin an attempt has run out on an established connection: nothing is written.
#[test]
fn late_attempt_is_not_written_to_an_open_connection() {
    with_limiter(&[], |limiter| async move {
        let listener = listening_host(&limiter, HOST).await;
        let address = listener.local_addr().expect("a local address");
        let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
        let (mut connection, (mut peer, _)) = (
            UpstreamConnection::new(
                stream.expect("the connection is established"),
                process_at(address),
            ),
            accepted.expect("the connection is accepted"),
        );
        let now = Instant::now();
        let requests = limiter.engine().requests();
        requests.borrow_mut().open(no_reply(), &mut request(1), now);
        let order = AttemptOrder {
            begins_within: 1,
            ..attempt_order(1, HOST)
        };
        let begun = requests.borrow_mut().begin_attempt(order, now);
        let call = begun.expect("within the limit on attempts");
        while Instant::now() < call.send_by {}
        let end = attempt::run(limiter.pipeline(), &mut connection, &call).await;
        assert_eq!(
            (end.result.outcome, end.reusable, connection.command_sent),
            (Outcome::ConnectFailed, false, false)
        );
        drop(connection);
        assert_eq!(
            peer.read(&mut [0]).await.expect("end of stream"),
            0,
            "nothing was written"
        );
    });
}

/// Returns a reference to the arguments of an attempt's request that does not keep them.
fn arguments(command: &HostCommand) -> Weak<Payload> {
    match command {
        HostCommand::Attempt { payload, .. } => Rc::downgrade(payload),
        HostCommand::HealthCheck => Weak::new(),
    }
}

/// Idle connections to hosts kept the arguments of their last request, up to 64 KiB each (issue 51).
#[test]
fn idle_connection_does_not_keep_the_arguments_of_its_last_request() {
    with_limiter(&[], |limiter| async move {
        let listener = listening_host(&limiter, HOST).await;
        let requests = limiter.engine().requests();
        let now = Instant::now();
        requests.borrow_mut().open(no_reply(), &mut request(1), now);
        let begun = requests
            .borrow_mut()
            .begin_attempt(attempt_order(1, HOST), now);
        let call = begun.expect("within the limit on attempts");
        let arguments = arguments(&call.command);
        dispatch::send(limiter.pipeline(), call);
        let (mut peer, _) = listener.accept().await.expect("the attempt connects");
        assert!(peer.read(&mut [0; 256]).await.expect("the command") > 0);
        assert!(arguments.upgrade().is_some(), "they may be sent again");
        let answer = b"*3\r\n$3\r\nbed\r\n$-1\r\n$-1\r\n";
        peer.write_all(answer).await.expect("the answer is sent");
        let event = next_event(&limiter).await;
        assert!(matches!(event, Event::AttemptDone { .. }), "{event:?}");
        assert!(arguments.upgrade().is_none());
        let connections = limiter.upstream().connections_by_host();
        assert_eq!(connections.get(&HOST), Some(&1), "the connection is kept");
    });
}

/// Each closed request left its timers until its deadline: a client that was rejected at once and sent the next request
/// took a limiter of 32 MB to 514 MB within 8 s (issue 51).
#[test]
fn timers_of_a_closed_request_are_released() {
    with_limiter(&[], |limiter| async move {
        let pipeline = limiter.pipeline();
        let frontend = Rc::new(RecordingFrontend::default());
        let owners = Rc::strong_count(pipeline);
        let context = pipeline.frontend_context();
        context.handler.handle_request(frontend, 0, request(1));
        for timer in [
            Timer::Deadline { id: RequestId(1) },
            Timer::LatencyObjective { id: RequestId(1) },
            Timer::CounterWait { id: RequestId(1) },
        ] {
            let after = LONG.as_nanos() as Nanos;
            route::execute(pipeline, Action::SetTimer { timer, after });
        }
        // One owner is the context; each timer holds the pipeline.
        assert_eq!(Rc::strong_count(pipeline), owners + 5);
        complete::answer(pipeline, RequestId(1), Answer::Failed);
        let released = async {
            while Rc::strong_count(pipeline) > owners + 1 {
                yield_now().await;
            }
        };
        let released = timeout(Duration::from_secs(5), released).await;
        released.expect("long before the timers are due");
    });
}

/// A process that was held up between the arrival of a request and its first decision gave the engine the client's whole
/// time. The engine's last answer then came too late, and the request failed instead.
#[test]
fn engine_gets_the_time_that_remains_of_a_request() {
    const HELD_UP: Duration = Duration::from_millis(30);
    with_limiter(&[], |limiter| async move {
        let arrived = Instant::now().checked_sub(HELD_UP);
        let arrived = arrived.expect("the clock has run for longer");
        let mut request = request(1);
        let deadline = limiter
            .engine()
            .open_request(no_reply(), &mut request, arrived);
        admit::admit(limiter.pipeline(), &request, deadline);
        let event = next_event(&limiter).await;
        let Event::Request { budget, .. } = event else {
            panic!("{event:?}");
        };
        assert!(Duration::from_nanos(budget) + HELD_UP <= request.wait);
    });
}
