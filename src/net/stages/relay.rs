//! Fifth stage: a relay is written to its host, and its answer awaited.

use super::book::{self, End};
use crate::api::Outcome;
use crate::net::config::Limits;
use crate::net::core::{Errand, Relay};
use crate::net::pipe::Pipe;
use crate::net::platform::{
    resp,
    south::{self, Link},
};
use crate::net::Node;
use std::io;
use std::rc::Rc;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Takes a relay to its host and back; how it ended, and whether the connection can take another. One that is
/// cancelled or timed out leaves its answer unread, so its connection ends with it.
pub async fn relay(node: &Rc<Node>, link: &mut Link, relay: &Relay) -> (End, bool) {
    let (Some(ledger), Errand::Attempt { used: (customer, units), .. }) = (node.ledger.get(), &relay.errand)
    else {
        return carry(node, link, relay).await;
    };
    let attempt = ledger.begin(customer.0, *units);
    let (end, sound) = carry(node, link, relay).await;
    ledger.end(attempt, &end, link.written, *units);
    (end, sound)
}

async fn carry(node: &Rc<Node>, link: &mut Link, relay: &Relay) -> (End, bool) {
    link.written = false;
    let outcome = tokio::select! {
        biased;
        () = relay.cancel.asked.notified() => Outcome::Cancelled,
        came = exchange(node, link, relay) => match came {
            Came::End(end, sound) => return (end, sound),
            Came::Long { head, length } => return pass_on(node, link, relay, head, length).await,
        },
        () = sleep_until(relay.until) => Outcome::Timeout,
    };
    // A command that is not whole is never begun.
    let never = !link.written && outcome == Outcome::Timeout;
    (if never { Outcome::ConnectFailed } else { outcome }.into(), false)
}

/// What came of an exchange.
enum Came {
    /// Its end, and whether the connection can take another relay.
    End(End, bool),
    /// The head of a value that is passed on as it comes: the head's length and the value's.
    Long { head: usize, length: usize },
}

impl From<Outcome> for Came {
    fn from(outcome: Outcome) -> Self {
        Came::End(outcome.into(), false)
    }
}

async fn exchange(node: &Rc<Node>, link: &mut Link, relay: &Relay) -> Came {
    if node.south.address(relay.host, &node.limits).is_none() {
        return Outcome::ConnectFailed.into();
    }
    south::write(relay, Instant::now(), &mut link.output);
    let mut sent = 0;
    while sent < link.output.len() {
        // Guards against an attempt that begins when what ran before it is no longer known to the hosts.
        if Instant::now() >= relay.begin_by {
            return Outcome::ConnectFailed.into();
        }
        match link.stream.try_write(&link.output[sent..]) {
            Ok(count) => sent += count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if !matches!(timeout_at(relay.begin_by, link.stream.writable()).await, Ok(Ok(()))) {
                    return Outcome::ConnectFailed.into();
                }
            }
            Err(_) => return Outcome::ConnectFailed.into(),
        }
    }
    link.written = true;
    relay.cancel.written.set(true);
    if let Errand::Attempt { id, attempt, .. } = &relay.errand {
        tracing::debug!(
            request = format_args!("{:016x}", id.0),
            attempt,
            host = relay.host.0,
            after = ?relay.began.elapsed(),
            "written"
        );
    }
    resp::consume(&mut link.output, sent, node.limits.read_bytes);
    loop {
        if !south::promising(&link.input, &relay.errand) {
            return Outcome::Error.into();
        }
        if let Some((head, length)) = resp::value_head(&link.input) {
            if (node.limits.value_bytes + 1..=node.limits.bulk_bytes).contains(&length) {
                return Came::Long { head, length };
            }
        }
        match resp::reply(&link.input, &node.limits) {
            Ok(Some((reply, length))) => {
                let (end, known) = node.south.end(&reply, &link.input, &relay.errand, relay.host);
                // Whatever follows belongs to no relay.
                let sound = known && length == link.input.len();
                resp::consume(&mut link.input, length, node.limits.read_bytes);
                return Came::End(end, sound);
            }
            Ok(None) => {}
            Err(_) => return Outcome::Error.into(),
        }
        // Guards against an answer that begins and has no end: one that pauses for long is spoilt, and may have run.
        let pause = (!link.input.is_empty()).then_some(node.limits.south_answer);
        let more = resp::more(&mut link.stream, &mut link.input, node.limits.read_bytes);
        let more = match pause {
            None => Ok(more.await),
            Some(pause) => timeout(pause, more).await,
        };
        match more {
            Ok(Ok(true)) => {}
            Ok(_) => return Outcome::Reset.into(),
            Err(_) => return Outcome::Error.into(),
        }
    }
}

/// Passes a long value on as it comes; no deadline of ours cuts it off. Guards against a client that takes a spoilt
/// value for whole: its last byte is kept until the host has ended it as it should.
async fn pass_on(node: &Rc<Node>, link: &mut Link, relay: &Relay, head: usize, length: usize) -> (End, bool) {
    let limits = &node.limits;
    resp::consume(&mut link.input, head, limits.window);
    let pipe = Pipe::new(length, limits.window, node.core.borrow().held());
    if !book::begin(node, relay, &pipe) {
        return (Outcome::Cancelled.into(), false);
    }
    let whole = flow(link, &pipe, limits).await;
    pipe.end(whole.is_ok());
    if let Err(outcome) = whole {
        return (outcome.into(), false);
    }
    // The figures on use and the load report; the value is good whatever they are.
    let mut end = End::from(Outcome::Good);
    for member in 0..2 {
        loop {
            match resp::reply(&link.input, limits) {
                Ok(Some((reply, length))) => {
                    if member == 0 {
                        end.used = south::used(&reply, &link.input, relay.host);
                    }
                    resp::consume(&mut link.input, length, limits.read_bytes);
                    break;
                }
                Ok(None) => {}
                Err(_) => return (end, false),
            }
            let more = resp::more(&mut link.stream, &mut link.input, limits.read_bytes);
            if !matches!(timeout(limits.south_answer, more).await, Ok(Ok(true))) {
                return (end, false);
            }
        }
    }
    let sound = link.input.is_empty();
    (end, sound)
}

/// Moves a value from its host into the pipe, to its end.
async fn flow(link: &mut Link, pipe: &Pipe, limits: &Limits) -> Result<(), Outcome> {
    let mut left = pipe.length();
    loop {
        if pipe.left() {
            return Err(Outcome::Cancelled);
        }
        let count = pipe.room().min(link.input.len()).min(left - 1);
        if count > 0 {
            pipe.put(&link.input[..count]);
            link.input.drain(..count);
            left -= count;
        }
        if left == 1 && link.input.len() >= 3 && pipe.room() > 0 {
            if &link.input[1..3] != b"\r\n" {
                return Err(Outcome::Error);
            }
            pipe.put(&link.input[..1]);
            resp::consume(&mut link.input, 3, limits.read_bytes);
            return Ok(());
        }
        if pipe.room() == 0 {
            pipe.drained().await;
            continue;
        }
        tokio::select! {
            more = timeout(limits.bulk_silence, resp::more(&mut link.stream, &mut link.input, limits.window / 2)) => {
                if !matches!(more, Ok(Ok(true))) {
                    return Err(Outcome::Reset);
                }
            }
            () = pipe.drained() => {}
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
                let sent = node
                    .core
                    .borrow_mut()
                    .begin(RequestId(id), host, (0, u64::MAX), now)
                    .expect("within the cap");
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
