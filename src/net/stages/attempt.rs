//! Fifth stage: a relay is written to its host, and its answer awaited.

use super::complete::{self, CallResult};
use crate::api::Outcome;
use crate::net::config::Limits;
use crate::net::engine::{HostCall, HostCommand};
use crate::net::resp::{
    codec,
    upstream::{self, UpstreamConnection},
};
use crate::net::streaming_body::Pipe;
use crate::net::Limiter;
use std::io;
use std::rc::Rc;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Takes a relay to its host and back; how it ended, and whether the connection can take another. One that is
/// cancelled or timed out leaves its answer unread, so its connection ends with it.
pub async fn relay(
    limiter: &Rc<Limiter>,
    link: &mut UpstreamConnection,
    relay: &HostCall,
) -> (CallResult, bool) {
    let (
        Some(usage_recorder),
        HostCommand::Attempt {
            used: (customer, units),
            ..
        },
    ) = (limiter.usage_recorder.get(), &relay.command)
    else {
        return carry(limiter, link, relay).await;
    };
    let attempt = usage_recorder.begin(customer.0, *units);
    let (end, sound) = carry(limiter, link, relay).await;
    usage_recorder.end(attempt, &end, link.written, *units);
    (end, sound)
}

async fn carry(
    limiter: &Rc<Limiter>,
    link: &mut UpstreamConnection,
    relay: &HostCall,
) -> (CallResult, bool) {
    link.written = false;
    let outcome = tokio::select! {
        biased;
        () = relay.cancel.asked.notified() => Outcome::Cancelled,
        came = exchange(limiter, link, relay) => match came {
            Came::CallResult(end, sound) => return (end, sound),
            Came::Long { head, length } => return pass_on(limiter, link, relay, head, length).await,
        },
        () = sleep_until(relay.until) => Outcome::Timeout,
    };
    // A command that is not whole is never begun.
    let never = !link.written && outcome == Outcome::Timeout;
    (
        if never {
            Outcome::ConnectFailed
        } else {
            outcome
        }
        .into(),
        false,
    )
}

/// What came of an exchange.
enum Came {
    /// Its end, and whether the connection can take another relay.
    CallResult(CallResult, bool),
    /// The head of a value that is passed on as it comes: the head's length and the value's.
    Long { head: usize, length: usize },
}

impl From<Outcome> for Came {
    fn from(outcome: Outcome) -> Self {
        Came::CallResult(outcome.into(), false)
    }
}

async fn exchange(limiter: &Rc<Limiter>, link: &mut UpstreamConnection, relay: &HostCall) -> Came {
    if limiter
        .upstream
        .address(relay.host, &limiter.limits)
        .is_none()
    {
        return Outcome::ConnectFailed.into();
    }
    upstream::write(relay, Instant::now(), &mut link.output);
    let mut sent = 0;
    while sent < link.output.len() {
        // Guards against an attempt that begins when what ran before it is no longer known to the hosts.
        if Instant::now() >= relay.begin_by {
            return Outcome::ConnectFailed.into();
        }
        match link.stream.try_write(&link.output[sent..]) {
            Ok(count) => sent += count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if !matches!(
                    timeout_at(relay.begin_by, link.stream.writable()).await,
                    Ok(Ok(()))
                ) {
                    return Outcome::ConnectFailed.into();
                }
            }
            Err(_) => return Outcome::ConnectFailed.into(),
        }
    }
    link.written = true;
    relay.cancel.written.set(true);
    if let HostCommand::Attempt { id, attempt, .. } = &relay.command {
        tracing::debug!(
            request = format_args!("{:016x}", id.0),
            attempt,
            host = relay.host.0,
            after = ?relay.began.elapsed(),
            "written"
        );
    }
    codec::consume(&mut link.output, sent, limiter.limits.read_bytes);
    loop {
        if !upstream::promising(&link.input, &relay.command) {
            return Outcome::Error.into();
        }
        if let Some((head, length)) = codec::value_head(&link.input) {
            if (limiter.limits.value_bytes + 1..=limiter.limits.bulk_bytes).contains(&length) {
                return Came::Long { head, length };
            }
        }
        match codec::reply(&link.input, &limiter.limits) {
            Ok(Some((reply, length))) => {
                let (end, known) =
                    limiter
                        .upstream
                        .end(&reply, &link.input, &relay.command, relay.host);
                // Whatever follows belongs to no relay.
                let sound = known && length == link.input.len();
                codec::consume(&mut link.input, length, limiter.limits.read_bytes);
                return Came::CallResult(end, sound);
            }
            Ok(None) => {}
            Err(_) => return Outcome::Error.into(),
        }
        // Guards against an answer that begins and has no end: one that pauses for long is spoilt, and may have run.
        let pause = (!link.input.is_empty()).then_some(limiter.limits.south_answer);
        let more = codec::more(&mut link.stream, &mut link.input, limiter.limits.read_bytes);
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
async fn pass_on(
    limiter: &Rc<Limiter>,
    link: &mut UpstreamConnection,
    relay: &HostCall,
    head: usize,
    length: usize,
) -> (CallResult, bool) {
    let limits = &limiter.limits;
    codec::consume(&mut link.input, head, limits.window);
    let pipe = Pipe::new(length, limits.window, limiter.engine.borrow().held());
    if !complete::begin(limiter, relay, &pipe) {
        return (Outcome::Cancelled.into(), false);
    }
    let whole = flow(link, &pipe, limits).await;
    pipe.end(whole.is_ok());
    if let Err(outcome) = whole {
        return (outcome.into(), false);
    }
    // The figures on use and the load report; the value is good whatever they are.
    let mut end = CallResult::from(Outcome::Good);
    for member in 0..2 {
        loop {
            match codec::reply(&link.input, limits) {
                Ok(Some((reply, length))) => {
                    if member == 0 {
                        end.used = upstream::used(&reply, &link.input, relay.host);
                    }
                    codec::consume(&mut link.input, length, limits.read_bytes);
                    break;
                }
                Ok(None) => {}
                Err(_) => return (end, false),
            }
            let more = codec::more(&mut link.stream, &mut link.input, limits.read_bytes);
            if !matches!(timeout(limits.south_answer, more).await, Ok(Ok(true))) {
                return (end, false);
            }
        }
    }
    let sound = link.input.is_empty();
    (end, sound)
}

/// Moves a value from its host into the pipe, to its end.
async fn flow(link: &mut UpstreamConnection, pipe: &Pipe, limits: &Limits) -> Result<(), Outcome> {
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
            codec::consume(&mut link.input, 3, limits.read_bytes);
            return Ok(());
        }
        if pipe.room() == 0 {
            pipe.drained().await;
            continue;
        }
        tokio::select! {
            more = timeout(limits.bulk_silence, codec::more(&mut link.stream, &mut link.input, limits.window / 2)) => {
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
    use crate::net::engine::tests::{request, RecordingFrontend};
    use crate::net::tests::with_limiter;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    /// A spoilt answer is an error at once or soon, long before the request's time is up, and ends the connection.
    #[test]
    fn a_spoilt_answer_is_not_waited_for() {
        with_limiter(&[], |limiter| async move {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port is free");
            let (address, host) = (listener.local_addr().expect("it has an address"), HostId(5));
            let entry = HostEntry {
                host,
                state: HostState::Ready,
                ..HostEntry::default()
            };
            limiter.upstream.learn(&entry, address);
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
                let (now, front) = (Instant::now(), Rc::new(RecordingFrontend::default()));
                limiter
                    .engine
                    .borrow_mut()
                    .open(front, 0, &mut request(id), now);
                let sent = limiter
                    .engine
                    .borrow_mut()
                    .begin(RequestId(id), host, (0, u64::MAX), now)
                    .expect("within the cap");
                let (stream, (mut peer, _)) =
                    tokio::try_join!(TcpStream::connect(address), listener.accept())
                        .expect("they connect");
                peer.write_all(answer.as_bytes())
                    .await
                    .expect("the limiter reads");
                let mut link = UpstreamConnection::new(stream, address);
                let (end, sound) = relay(&limiter, &mut link, &sent).await;
                assert_eq!((end.outcome, sound), expected, "{answer:?}");
                assert!(Instant::now() < sent.until);
                assert!(peer.read(&mut [0]).await.expect("the command") > 0);
            }
        });
    }
}
