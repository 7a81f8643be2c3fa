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
use tokio::time::{sleep_until, Instant};

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
    loop {
        match resp::reply(&link.input, &node.limits) {
            Ok(Some((reply, length))) => {
                let end = node.south.end(&reply, &link.input, &relay.errand);
                let sound = length == link.input.len();
                resp::consume(&mut link.input, length, node.limits.read_bytes);
                return (end, sound);
            }
            Ok(None) => {}
            Err(_) => return (Outcome::Error.into(), false),
        }
        let more = resp::more(&mut link.stream, &mut link.input, node.limits.read_bytes).await;
        if !more.unwrap_or(false) {
            return (Outcome::Reset.into(), false);
        }
    }
}
