//! Fourth stage: a relay gets a connection, the host's latest idle one or a new one.

use super::{book, relay};
use crate::api::{HostId, Outcome};
use crate::net::core::{Cancel, Errand, Relay};
use crate::net::platform::{resp, south::Link};
use crate::net::task::spawn;
use crate::net::Node;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at, Instant};

/// Sends a relay on its way.
pub fn send(node: &Rc<Node>, relay: Relay) {
    if let Err(relay) = node.south.hand_over(relay, &node.limits) {
        spawn(serve(node.clone(), relay));
    }
}

/// Sends a probe on its way.
pub fn probe(node: &Rc<Node>, host: HostId) {
    let now = Instant::now();
    let (until, cancel) = (now + node.limits.connect.get(), Rc::new(Cancel::default()));
    send(node, Relay { errand: Errand::Probe, host, began: now, begin_by: until, until, cancel });
}

/// A connection's life: opened for one relay, it takes others as long as it is sound.
async fn serve(node: Rc<Node>, mut relay: Relay) {
    let Some(_counted) = node.south.count(relay.host, &node.limits) else {
        return book::done(&node, &relay, Outcome::ConnectFailed.into());
    };
    let opened = connect(&node, &relay).await;
    if let Some((_, tally)) = &node.tally {
        tally.borrow_mut().connected(relay.host, opened.is_ok());
    }
    let mut link = match opened {
        Ok(link) => link,
        Err(outcome) => return book::done(&node, &relay, outcome.into()),
    };
    loop {
        let (end, sound) = relay::relay(&node, &mut link, &relay).await;
        // Waits already when the module is told, so that what it sends on next finds this connection.
        let parked = if sound { node.south.park(relay.host, link.peer) } else { None };
        book::done(&node, &relay, end);
        let Some((serial, next)) = parked else { return };
        let host = relay.host;
        match wait(&node, &mut link, next).await {
            // It came to its end meanwhile: nothing has been written, so another one is taken.
            Some(relay) if !link.quiet() => return send(&node, relay),
            Some(next) => relay = next,
            None => return node.south.unpark(host, serial),
        }
    }
}

async fn connect(node: &Rc<Node>, relay: &Relay) -> Result<Link, Outcome> {
    let address = node.south.address(relay.host, &node.limits).ok_or(Outcome::ConnectFailed)?;
    let by = relay.begin_by.min(Instant::now() + node.limits.connect.get());
    tokio::select! {
        biased;
        () = relay.cancel.asked.notified() => Err(Outcome::Cancelled),
        opened = timeout_at(by, TcpStream::connect(address)) => match opened {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Ok(Link::new(stream, address))
            }
            _ => Err(Outcome::ConnectFailed),
        },
    }
}

/// Waits for a connection's next relay; `None` when it has been idle for too long, or anything came on it. The
/// relay is looked at first in each turn, so that none is lost to another cause.
async fn wait(node: &Rc<Node>, link: &mut Link, mut next: oneshot::Receiver<Relay>) -> Option<Relay> {
    let idle = node.limits.south_idle.get();
    tokio::select! {
        biased;
        relay = &mut next => relay.ok(),
        _ = resp::more(&mut link.stream, &mut link.input, node.limits.read_bytes) => None,
        () = sleep(idle) => None,
    }
}
