//! Fifth stage: a relay is written to its host, and its answer awaited.

use super::book::End;
use crate::api::Outcome;
use crate::net::core::Relay;
use crate::net::platform::{
    resp,
    south::{self, Link},
};
use crate::net::Node;
use std::io;
use std::rc::Rc;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Takes a relay to its host and back; how it ended, and whether the connection can take another. One that is
/// cancelled or timed out leaves its answer unread, so its connection ends with it.
pub async fn relay(node: &Rc<Node>, link: &mut Link, relay: &Relay) -> (End, bool) {
    link.written = false;
    let outcome = tokio::select! {
        biased;
        () = relay.cancel.notified() => Outcome::Cancelled,
        end = exchange(node, link, relay) => return end,
        () = sleep_until(relay.until) => Outcome::Timeout,
    };
    // A command that is not whole is never begun.
    let never = !link.written && outcome == Outcome::Timeout;
    (if never { Outcome::ConnectFailed } else { outcome }.into(), false)
}

async fn exchange(node: &Rc<Node>, link: &mut Link, relay: &Relay) -> (End, bool) {
    if node.south.address(relay.host, &node.limits).is_none() {
        return (Outcome::ConnectFailed.into(), false);
    }
    south::write(relay, Instant::now(), &mut link.output);
    let mut sent = 0;
    while sent < link.output.len() {
        match link.stream.try_write(&link.output[sent..]) {
            Ok(count) => sent += count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if link.stream.writable().await.is_err() {
                    return (Outcome::ConnectFailed.into(), false);
                }
            }
            Err(_) => return (Outcome::ConnectFailed.into(), false),
        }
    }
    link.written = true;
    resp::consume(&mut link.output, sent, node.limits.read_bytes);
    // Guards against an answer that begins and has no end: what is not whole in time is spoilt, and may have run.
    let mut by = None;
    loop {
        if !south::promising(&link.input, &relay.errand) {
            return (Outcome::Error.into(), false);
        }
        match resp::reply(&link.input, &node.limits) {
            Ok(Some((reply, length))) => {
                let (end, known) = node.south.end(&reply, &link.input, &relay.errand);
                // Whatever follows belongs to no relay.
                let sound = known && length == link.input.len();
                resp::consume(&mut link.input, length, node.limits.read_bytes);
                return (end, sound);
            }
            Ok(None) => {}
            Err(_) => return (Outcome::Error.into(), false),
        }
        if !link.input.is_empty() {
            by.get_or_insert_with(|| Instant::now() + node.limits.south_answer);
        }
        let more = resp::more(&mut link.stream, &mut link.input, node.limits.read_bytes);
        let more = match by {
            None => Ok(more.await),
            Some(by) => timeout_at(by, more).await,
        };
        match more {
            Ok(Ok(true)) => {}
            Ok(_) => return (Outcome::Reset.into(), false),
            Err(_) => return (Outcome::Error.into(), false),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{HostEntry, HostId, HostState, RequestId};
    use crate::net::core::tests::{request, Kept};
    use crate::net::tests::with_node;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    /// A spoilt answer is an error at once or soon, long before the request's time is up, and ends the connection.
    #[test]
    fn a_spoilt_answer_is_not_waited_for() {
        with_node(&[], |node| async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let (address, host) = (listener.local_addr().expect("it has an address"), HostId(5));
            let entry = HostEntry { host, state: HostState::Ready, ..HostEntry::default() };
            node.south.learn(&entry, address);
            let good = "*3\r\n$3\r\nbed\r\n$-1\r\n$-1\r\n";
            for (id, answer, expected) in [
                (1, good.to_owned(), (Outcome::Good, true)),
                (2, good.repeat(2), (Outcome::Good, false)),
                (3, "*3\r\n*3\r\n*3\r\n".to_owned(), (Outcome::Error, false)),
                (4, good[..12].to_owned(), (Outcome::Error, false)),
                (5, "*3\r\n$3000000000\r\nbed".to_owned(), (Outcome::Error, false)),
            ] {
                let (now, front) = (Instant::now(), Rc::new(Kept::default()));
                node.core.borrow_mut().open(front, 0, &mut request(id), now);
                let sent = node.core.borrow_mut().begin(RequestId(id), host, 0, now).expect("within the cap");
                let (stream, (mut peer, _)) =
                    tokio::try_join!(TcpStream::connect(address), listener.accept()).expect("they connect");
                peer.write_all(answer.as_bytes()).await.expect("the limiter reads");
                let mut link = Link::new(stream, address);
                let (end, sound) = relay(&node, &mut link, &sent).await;
                assert_eq!((end.outcome, sound), expected, "{answer:?}");
                assert!(Instant::now() < sent.until);
                assert!(peer.read(&mut [0]).await.expect("the command") > 0);
            }
        });
    }
}
