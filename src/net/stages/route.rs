//! Third stage: the module's actions are carried out, in its order.

use super::{complete, dispatch};
use crate::api::{Action, Event, Outcome};
use crate::net::engine::Answer;
use crate::net::task::spawn;
use crate::net::Limiter;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Carries out one action.
pub fn carry_out(limiter: &Rc<Limiter>, action: Action) {
    let now = Instant::now();
    match action {
        Action::Attempt {
            id,
            host,
            timeout,
            begins_within,
        } => {
            let relay = limiter
                .engine
                .borrow_mut()
                .begin(id, host, (timeout, begins_within), now);
            match relay {
                Ok(relay) => dispatch::send(limiter, relay),
                Err(attempt) => {
                    let elapsed = 0;
                    complete::tell_done(
                        limiter,
                        (id, attempt, host),
                        Outcome::NeverSent,
                        elapsed,
                        Default::default(),
                    );
                }
            }
        }
        Action::CancelAttempt { id, attempt } => limiter.engine.borrow().cancel(id, attempt),
        Action::Reject { id, retry_after } => {
            let wait = if limiter.limits.tells_when.get() {
                retry_after
            } else {
                0
            };
            complete::answer(limiter, id, Answer::BackOff(Duration::from_nanos(wait)));
        }
        Action::Fail { id } => {
            complete::answer(limiter, id, Answer::Failed);
        }
        Action::SetTimer { timer, after } => {
            let limiter = limiter.clone();
            spawn(async move {
                sleep_until(now + Duration::from_nanos(after)).await;
                limiter.tell(Event::Timer { timer });
            });
        }
        Action::Count {
            name,
            amount,
            keep_for,
        } => limiter.counter.call(limiter, name, amount, keep_for),
        Action::HealthCheck { host } => dispatch::probe(limiter, host),
        Action::CloseIdle { host } => limiter.upstream.close_idle(host),
        Action::Log { text } => tracing::info!("{text}"),
        // The inventory is watched all the time, and its whole list is asked for after each gap.
        Action::Watch { .. } | Action::FetchHosts => {}
        // Limiters here have no way to each other.
        Action::MessagePeers { .. } => {}
    }
}
