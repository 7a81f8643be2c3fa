//! Tests of malformed, repeated and truncated answers.

use super::*;
use crate::api::{HostEntry, HostId, HostState};
use crate::net::engine::tests::{attempt_order, no_reply, request};
use crate::net::resp::upstream::tests::process_at;
use crate::net::tests::{listening_host, with_limiter};
use crate::net::Limiter;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};

/// A malformed or truncated answer fails the call well before the request's deadline. Its connection, and one with
/// bytes after a good answer, is not reused.
#[test]
fn malformed_answer_ends_the_call_before_its_deadline() {
    with_limiter(&[], |limiter| async move {
        let host = HOST;
        let listener = listening_host(&limiter, host).await;
        let address = listener.local_addr().expect("a local address");
        let good = "*3\r\n$3\r\nbed\r\n$-1\r\n$-1\r\n";
        for (id, answer, expected) in [
            (1, good.to_owned(), (Outcome::Good, true)),
            (2, good.repeat(2), (Outcome::Good, false)),
            (3, "*3\r\n*3\r\n*3\r\n".to_owned(), (Outcome::Error, false)),
            (4, good[..12].to_owned(), (Outcome::Error, false)),
            (
                5,
                "*3\r\n$3000000000\r\nbed".to_owned(),
                (Outcome::Error, false),
            ),
        ] {
            let now = Instant::now();
            let requests = limiter.engine().requests();
            requests
                .borrow_mut()
                .open(no_reply(), &mut request(id), now);
            let order = attempt_order(id, host);
            let begun = requests.borrow_mut().begin_attempt(order, now);
            let call = begun.expect("within the limit on attempts");
            let (stream, (mut peer, _)) =
                tokio::try_join!(TcpStream::connect(address), listener.accept())
                    .expect("the connection is established");
            peer.write_all(answer.as_bytes())
                .await
                .expect("the answer is sent");
            let mut connection = UpstreamConnection::new(stream, process_at(address));
            let end = run(limiter.pipeline(), &mut connection, &call).await;
            assert_eq!((end.result.outcome, end.reusable), expected, "{answer:?}");
            assert!(Instant::now() < call.deadline);
            assert!(peer.read(&mut [0]).await.expect("the command") > 0);
        }
    });
}

const HOST: HostId = HostId(5);
/// Length of the longest value that is not streamed.
const LONGEST_VALUE_BYTES: usize = 64 << 10;

/// A call on an open connection, and the host's end of that connection.
struct OpenCall {
    connection: UpstreamConnection,
    call: HostCall,
    host: TcpStream,
}

async fn open_call(limiter: &Rc<Limiter>) -> OpenCall {
    let listener = listening_host(limiter, HOST).await;
    let address = listener.local_addr().expect("a local address");
    let now = Instant::now();
    let requests = limiter.engine().requests();
    requests.borrow_mut().open(no_reply(), &mut request(1), now);
    let begun = requests
        .borrow_mut()
        .begin_attempt(attempt_order(1, HOST), now);
    let connected = tokio::try_join!(TcpStream::connect(address), listener.accept());
    let (stream, (host, _)) = connected.expect("the connection is established");
    OpenCall {
        connection: UpstreamConnection::new(stream, process_at(address)),
        call: begun.expect("within the limit on attempts"),
        host,
    }
}

/// Returns an answer with a value of this length.
fn answer_with_value(length: usize) -> Vec<u8> {
    let mut answer = format!("*3\r\n${length}\r\n").into_bytes();
    answer.resize(answer.len() + length, b'v');
    answer.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    answer
}

/// A long answer is left unread until there is memory for all of it. Its value takes the memory along, and gives it back.
#[test]
fn long_answer_waits_for_memory() {
    with_limiter(&[], |limiter| async move {
        let memory = limiter.pipeline().memory().clone();
        let holder = memory.hold(Owner::Responses, memory.capacity());
        let OpenCall {
            mut connection,
            call,
            mut host,
        } = open_call(&limiter).await;
        let call_limiter = limiter.clone();
        let running = spawn_local(async move {
            let end = run(call_limiter.pipeline(), &mut connection, &call).await;
            (end, connection)
        });
        let answer = answer_with_value(LONGEST_VALUE_BYTES);
        let sent = spawn_local(async move { host.write_all(&answer).await.map(|()| host) });
        while memory.waiting() == 0 {
            yield_now().await;
        }
        drop(holder);
        let (end, connection) = running.await.expect("it ends");
        assert_eq!((end.result.outcome, end.reusable), (Outcome::Good, true));
        assert_eq!(end.result.value.as_bytes().len(), LONGEST_VALUE_BYTES);
        assert!(connection.input.is_empty() && connection.input_reservation.is_none());
        assert!(memory.reserved(Owner::HostAnswers) > LONGEST_VALUE_BYTES);
        drop(end);
        assert_eq!(memory.total(), 0);
        sent.await.expect("it ends").expect("the answer is sent");
    });
}

/// A call whose answer waits for memory ends at its deadline, and withdraws its request for memory.
#[test]
fn answer_without_memory_times_out() {
    with_limiter(&[], |limiter| async move {
        let memory = limiter.pipeline().memory().clone();
        let _holder = memory.hold(Owner::Responses, memory.capacity());
        let OpenCall {
            mut connection,
            call,
            mut host,
        } = open_call(&limiter).await;
        let head = &answer_with_value(LONGEST_VALUE_BYTES)[..100];
        host.write_all(head).await.expect("the head is sent");
        let end = run(limiter.pipeline(), &mut connection, &call).await;
        assert_eq!(end.result.outcome, Outcome::Timeout);
        assert!(Instant::now() >= call.deadline);
        assert_eq!(memory.waiting(), 0);
    });
}

/// A host was restarted at its address while the connection for an attempt was being established: the attempt, which was
/// decided for the earlier process, ran at the new one (incident work-at-a-replaced-process).
#[test]
fn attempt_for_an_earlier_process_of_a_host_is_not_written() {
    with_limiter(&[], |limiter| async move {
        let OpenCall {
            mut connection,
            call,
            mut host,
        } = open_call(&limiter).await;
        let restarted = HostEntry {
            host: HOST,
            state: HostState::Ready,
            started: 1,
            ..HostEntry::default()
        };
        let address = connection.peer.address;
        limiter.upstream().update_host(&restarted, address);
        let end = run(limiter.pipeline(), &mut connection, &call).await;
        assert_eq!(end.result.outcome, Outcome::ConnectFailed);
        drop(connection);
        let received = host.read(&mut [0]).await;
        assert_eq!(received.expect("the connection ends"), 0);
    });
}
