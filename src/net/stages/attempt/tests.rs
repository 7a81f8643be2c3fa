//! Tests of malformed, repeated and truncated answers.

use super::*;
use crate::api::{HostEntry, HostId, HostState};
use crate::net::engine::tests::{attempt_order, no_reply, request};
use crate::net::tests::with_limiter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A malformed or truncated answer fails the call well before the request's deadline. Its connection, and one with
/// bytes after a good answer, is not reused.
#[test]
fn malformed_answer_ends_the_call_before_its_deadline() {
    with_limiter(&[], |limiter| async move {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("a local address");
        let host = HostId(5);
        let entry = HostEntry {
            host,
            state: HostState::Ready,
            ..HostEntry::default()
        };
        limiter.upstream().update_host(&entry, address);
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
            let mut connection = UpstreamConnection::new(stream, address);
            let end = run(limiter.pipeline(), &mut connection, &call).await;
            assert_eq!((end.result.outcome, end.reusable), expected, "{answer:?}");
            assert!(Instant::now() < call.deadline);
            assert!(peer.read(&mut [0]).await.expect("the command") > 0);
        }
    });
}
