//! Fourth stage: a relay gets a connection, the host's latest idle one or a new one.

use super::{attempt, complete};
use crate::api::{HostId, Outcome};
use crate::net::engine::{Cancellation, HostCall, HostCommand};
use crate::net::resp::{codec, upstream::UpstreamConnection};
use crate::net::task::spawn;
use crate::net::Limiter;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at, Instant};

/// Sends a relay on its way.
pub fn send(limiter: &Rc<Limiter>, relay: HostCall) {
    if let Err(relay) = limiter.upstream.hand_over(relay, &limiter.limits) {
        spawn(serve(limiter.clone(), relay));
    }
}

/// Sends a probe on its way.
pub fn probe(limiter: &Rc<Limiter>, host: HostId) {
    let now = Instant::now();
    let (until, cancel) = (
        now + limiter.limits.connect.get(),
        Rc::new(Cancellation::default()),
    );
    send(
        limiter,
        HostCall {
            command: HostCommand::HealthCheck,
            host,
            began: now,
            begin_by: until,
            until,
            cancel,
        },
    );
}

/// A connection's life: opened for one relay, it takes others as long as it is sound.
async fn serve(limiter: Rc<Limiter>, mut relay: HostCall) {
    let Some(_counted) = limiter.upstream.count(relay.host, &limiter.limits) else {
        return complete::done(&limiter, &relay, Outcome::ConnectFailed.into());
    };
    let opened = connect(&limiter, &relay).await;
    if let Some((_, metrics)) = &limiter.metrics {
        metrics.borrow_mut().connected(relay.host, opened.is_ok());
    }
    let mut link = match opened {
        Ok(link) => link,
        Err(outcome) => return complete::done(&limiter, &relay, outcome.into()),
    };
    loop {
        let (end, sound) = attempt::relay(&limiter, &mut link, &relay).await;
        // Waits already when the module is told, so that what it sends on next finds this connection.
        let parked = if sound {
            limiter.upstream.park(relay.host, link.peer)
        } else {
            None
        };
        complete::done(&limiter, &relay, end);
        let Some((serial, next)) = parked else { return };
        let host = relay.host;
        match wait(&limiter, &mut link, next).await {
            // It came to its end meanwhile: nothing has been written, so another one is taken.
            Some(relay) if !link.quiet() => return send(&limiter, relay),
            Some(next) => relay = next,
            None => return limiter.upstream.unpark(host, serial),
        }
    }
}

async fn connect(limiter: &Rc<Limiter>, relay: &HostCall) -> Result<UpstreamConnection, Outcome> {
    let address = limiter
        .upstream
        .address(relay.host, &limiter.limits)
        .ok_or(Outcome::ConnectFailed)?;
    let by = relay
        .begin_by
        .min(Instant::now() + limiter.limits.connect.get());
    tokio::select! {
        biased;
        () = relay.cancel.asked.notified() => Err(Outcome::Cancelled),
        opened = timeout_at(by, TcpStream::connect(address)) => match opened {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Ok(UpstreamConnection::new(stream, address))
            }
            _ => Err(Outcome::ConnectFailed),
        },
    }
}

/// Waits for a connection's next relay; `None` when it has been idle for too long, or anything came on it. The
/// relay is looked at first in each turn, so that none is lost to another cause.
async fn wait(
    limiter: &Rc<Limiter>,
    link: &mut UpstreamConnection,
    mut next: oneshot::Receiver<HostCall>,
) -> Option<HostCall> {
    let idle = limiter.limits.south_idle.get();
    tokio::select! {
        biased;
        relay = &mut next => relay.ok(),
        _ = codec::more(&mut link.stream, &mut link.input, limiter.limits.read_bytes) => None,
        () = sleep(idle) => None,
    }
}
