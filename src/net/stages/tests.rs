//! Crossings of a request's stages, forced on real sockets.

use super::complete::Delivery;
use super::{attempt, complete, dispatch};
use crate::api::{Event, HostEntry, HostId, HostState, Nanos, Outcome, RequestId};
use crate::net::engine::tests::{attempt_order, no_reply, reply_to, request, RecordingFrontend};
use crate::net::engine::{Answer, AttemptOrder};
use crate::net::resp::upstream::UpstreamConnection;
use crate::net::tests::{next, with_limiter};
use crate::net::Limiter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::{timeout, Instant};

const HOST: HostId = HostId(5);
const LONG: Duration = Duration::from_secs(30);

/// A host whose line of connections is full: a further one does not come up until those before it are taken.
struct Slow {
    listener: TcpListener,
    address: SocketAddr,
    before: Vec<TcpStream>,
}

async fn slow_host(limiter: &Rc<Limiter>) -> Slow {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port is free");
    let listener = socket.listen(0).expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    // A line of nought takes one, and is full from then on.
    let before = vec![TcpStream::connect(address)
        .await
        .expect("there is room for one")];
    let entry = HostEntry {
        host: HOST,
        state: HostState::Ready,
        ..HostEntry::default()
    };
    limiter.upstream().update_host(&entry, address);
    Slow {
        listener,
        address,
        before,
    }
}

/// Sends a request's attempt on its way to a host whose connection does not come up, however long it may take.
async fn connecting(
    limiter: &Rc<Limiter>,
    begins_within: Duration,
) -> (Slow, Rc<RecordingFrontend>) {
    limiter.limits().connect_timeout.set(LONG);
    let (host, front) = (
        slow_host(limiter).await,
        Rc::new(RecordingFrontend::default()),
    );
    let mut asked = request(1);
    asked.wait = LONG;
    let requests = limiter.engine().requests();
    requests
        .borrow_mut()
        .open(reply_to(&front, 0), &mut asked, Instant::now());
    let order = AttemptOrder {
        begins_within: begins_within.as_nanos() as Nanos,
        ..attempt_order(1, HOST)
    };
    let call = requests.borrow_mut().begin_attempt(order, Instant::now());
    dispatch::send(limiter.pipeline(), call.expect("within the cap"));
    yield_now().await;
    assert_eq!(
        limiter.upstream().connections_by_host().get(&HOST),
        Some(&1),
        "it is on its way"
    );
    (host, front)
}

/// The attempt has ended without a connection, and the host, which now takes all that come, gets nothing of it.
async fn nothing_goes_out(limiter: &Rc<Limiter>, mut host: Slow, expected: Outcome) {
    let ended = async {
        loop {
            if let Event::AttemptDone { outcome, .. } = next(limiter).await {
                return outcome;
            }
        }
    };
    let outcome = timeout(Duration::from_secs(5), ended)
        .await
        .expect("it ends long before its time is up");
    assert_eq!(outcome, expected);
    while limiter.upstream().connections_by_host().contains_key(&HOST) {
        yield_now().await;
    }
    // Whatever comes up behind the one that filled the line is not the attempt's.
    let (mut first, _) = host.listener.accept().await.expect("the one before");
    host.before.clear();
    assert_eq!(first.read(&mut [0]).await.expect("its end"), 0);
    let (connected, accepted) =
        tokio::join!(TcpStream::connect(host.address), host.listener.accept());
    let (own, (_, from)) = (
        connected.expect("there is room again"),
        accepted.expect("it comes"),
    );
    assert_eq!(
        own.local_addr().expect("an address"),
        from,
        "nobody else came meanwhile"
    );
}

/// A client that goes while its request's connection is on its way: no attempt begins for it.
#[test]
fn nothing_is_sent_for_a_client_that_went_while_a_connection_was_opened() {
    with_limiter(&[], |limiter| async move {
        let (host, front) = connecting(&limiter, LONG).await;
        complete::abandon(limiter.pipeline(), RequestId(1));
        nothing_goes_out(&limiter, host, Outcome::Cancelled).await;
        assert_eq!(*front.0.borrow(), []);
    });
}

/// The same where the request was answered meanwhile: what it got is final.
#[test]
fn nothing_is_sent_for_a_request_that_was_answered_while_a_connection_was_opened() {
    with_limiter(&[], |limiter| async move {
        let (host, front) = connecting(&limiter, LONG).await;
        let delivery = complete::answer(limiter.pipeline(), RequestId(1), Answer::Failed);
        assert_eq!(delivery, Delivery::Delivered);
        nothing_goes_out(&limiter, host, Outcome::Cancelled).await;
        assert_eq!(*front.0.borrow(), [(0, Answer::Failed)]);
    });
}

/// A further attempt whose connection is still on its way as the window for repeats closes: it surely never ran.
#[test]
fn no_attempt_begins_once_its_window_is_over_while_a_connection_was_opened() {
    with_limiter(&[], |limiter| async move {
        let (host, front) = connecting(&limiter, Duration::from_millis(20)).await;
        nothing_goes_out(&limiter, host, Outcome::ConnectFailed).await;
        assert_eq!(
            *front.0.borrow(),
            [],
            "whether it is repeated is for the module to say"
        );
    });
}

/// The same on a connection that stood ready: nothing is written.
#[test]
fn no_attempt_is_written_once_its_window_is_over() {
    with_limiter(&[], |limiter| async move {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let entry = HostEntry {
            host: HOST,
            state: HostState::Ready,
            ..HostEntry::default()
        };
        limiter.upstream().update_host(&entry, address);
        let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
        let (mut link, (mut peer, _)) = (
            UpstreamConnection::new(stream.expect("it connects"), address),
            accepted.expect("it comes"),
        );
        let now = Instant::now();
        let requests = limiter.engine().requests();
        requests.borrow_mut().open(no_reply(), &mut request(1), now);
        let order = AttemptOrder {
            begins_within: 1,
            ..attempt_order(1, HOST)
        };
        let begun = requests.borrow_mut().begin_attempt(order, now);
        let sent = begun.expect("within the cap");
        while Instant::now() < sent.send_by {}
        let end = attempt::run(limiter.pipeline(), &mut link, &sent).await;
        assert_eq!(
            (end.result.outcome, end.reusable, link.command_sent),
            (Outcome::ConnectFailed, false, false)
        );
        drop(link);
        assert_eq!(
            peer.read(&mut [0]).await.expect("its end"),
            0,
            "nothing was written"
        );
    });
}
