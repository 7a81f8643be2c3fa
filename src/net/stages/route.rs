//! Third stage: the module's actions are carried out, in its order.

use super::{book, send};
use crate::api::{Action, Event, Outcome};
use crate::net::core::Answer;
use crate::net::task::spawn;
use crate::net::Node;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Carries out one action.
pub fn carry_out(node: &Rc<Node>, action: Action) {
    let now = Instant::now();
    match action {
        Action::Attempt { id, host, timeout, begins_within } => {
            let relay = node.core.borrow_mut().begin(id, host, (timeout, begins_within), now);
            match relay {
                Ok(relay) => send::send(node, relay),
                Err(attempt) => {
                    let took = 0;
                    book::tell_done(node, (id, attempt, host), Outcome::NeverSent, took, Default::default());
                }
            }
        }
        Action::CancelAttempt { id, attempt } => node.core.borrow().cancel(id, attempt),
        Action::Refuse { id, retry_after } => {
            let wait = if node.limits.tells_when.get() { retry_after } else { 0 };
            book::answer(node, id, Answer::BackOff(Duration::from_nanos(wait)));
        }
        Action::Fail { id } => {
            book::answer(node, id, Answer::Failed);
        }
        Action::SetTimer { tag, after } => {
            let node = node.clone();
            spawn(async move {
                sleep_until(now + Duration::from_nanos(after)).await;
                node.tell(Event::Timer { tag });
            });
        }
        Action::Count { name, amount, keep_for } => node.counter.call(node, name, amount, keep_for),
        Action::Probe { host } => send::probe(node, host),
        Action::CloseIdle { host } => node.south.close_idle(host),
        Action::Log { text } => tracing::info!("{text}"),
        // The inventory is watched all the time, and its whole list is asked for after each gap.
        Action::Watch { .. } | Action::FetchHosts => {}
        // Limiters here have no way to each other.
        Action::TellPeers { .. } => {}
    }
}
