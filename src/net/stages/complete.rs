//! Last stage: how things ended is told to the module and, where that ends the request, to its client.

use crate::api::{Event, HostId, Load, Nanos, Outcome, RequestId};
use crate::net::engine::{Answer, HostCall, HostCommand};
use crate::net::streaming_body::Pipe;
use crate::net::Limiter;
use std::rc::Rc;

/// How a relay ended: its outcome, the value of a good one, and the load report that came along.
pub struct CallResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The value.
    pub value: Vec<u8>,
    /// The load report.
    pub load: Load,
    /// What the answer tells of the request's use.
    pub used: UsageFigures,
}

/// The figures on use that came with an answer; zero: not told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageFigures {
    /// The customer's use, as the meter has it.
    pub metered: u64,
    /// The request's true units, where they were a guess.
    pub units: f64,
}

impl From<Outcome> for CallResult {
    fn from(outcome: Outcome) -> Self {
        CallResult {
            outcome,
            value: Vec::new(),
            load: Load::new(),
            used: UsageFigures::default(),
        }
    }
}

/// Gives a request its final answer, if it is still open.
pub fn answer(limiter: &Rc<Limiter>, id: RequestId, answer: Answer) -> bool {
    let open = limiter.engine.borrow_mut().close(id);
    tracing::debug!(
        request = format_args!("{:016x}", id.0),
        open = open.is_some(),
        "answered"
    );
    if let Some((front, place)) = &open {
        front.answer(*place, answer);
    }
    open.is_some()
}

/// The client of a request went away: nothing is owed any more.
pub fn abandon(limiter: &Rc<Limiter>, id: RequestId) {
    let open = limiter.engine.borrow_mut().close(id);
    tracing::debug!(
        request = format_args!("{:016x}", id.0),
        open = open.is_some(),
        "its client went away"
    );
    if open.is_some() {
        limiter.tell(Event::Abandoned { id });
    }
}

/// Fails a request that nothing has answered, and lets the module know.
pub fn give_up(limiter: &Rc<Limiter>, id: RequestId) {
    if answer(limiter, id, Answer::Failed) {
        limiter.tell(Event::Abandoned { id });
    }
}

/// The answer of a request begins: a long value, which comes through the pipe. False where nobody waits for it.
pub fn begin(limiter: &Rc<Limiter>, relay: &HostCall, pipe: &Rc<Pipe>) -> bool {
    let HostCommand::Attempt { id, attempt, .. } = relay.command else {
        return false;
    };
    let begun = answer(limiter, id, Answer::Begun(pipe.clone()));
    if begun {
        let (host, elapsed) = (relay.host, relay.began.elapsed().as_nanos() as Nanos);
        limiter.tell(Event::StreamStarted {
            id,
            attempt,
            host,
            elapsed,
        });
    }
    begun
}

/// Books the end of a relay. The first good one answers the client by itself.
pub fn done(limiter: &Rc<Limiter>, relay: &HostCall, end: CallResult) {
    let (host, outcome, elapsed) = (
        relay.host,
        end.outcome,
        relay.began.elapsed().as_nanos() as Nanos,
    );
    let HostCommand::Attempt { id, attempt, .. } = relay.command else {
        return limiter.tell(Event::HealthCheckDone {
            host,
            outcome,
            elapsed,
            load: end.load,
        });
    };
    tracing::debug!(
        request = format_args!("{:016x}", id.0),
        attempt,
        host = host.0,
        ?outcome,
        after = ?relay.began.elapsed(),
        "attempt ended"
    );
    limiter.engine.borrow_mut().end(id, attempt);
    if outcome == Outcome::Good {
        // One that has begun already is open no more.
        answer(limiter, id, Answer::Served(end.value));
    }
    tell_done(
        limiter,
        (id, attempt, host),
        outcome,
        elapsed,
        (end.load, end.used),
    );
}

/// Tells the module of the end of an attempt. Whether the request is over is filled in when it takes the event.
pub fn tell_done(
    limiter: &Rc<Limiter>,
    (id, attempt, host): (RequestId, u32, HostId),
    outcome: Outcome,
    elapsed: Nanos,
    (load, used): (Load, UsageFigures),
) {
    let (over, metered_use, true_units) = (false, used.metered, used.units);
    limiter.tell(Event::AttemptDone {
        id,
        attempt,
        host,
        outcome,
        elapsed,
        over,
        metered_use,
        true_units,
        load,
    });
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::engine::tests::{request, RecordingFrontend};
    use crate::net::tests::{next, with_limiter};
    use tokio::time::Instant;

    /// The first good attempt answers by itself; whatever comes later is told to the module and to nobody else.
    #[test]
    fn one_answer_whatever_comes() {
        with_limiter(&[], |limiter| async move {
            let (front, now) = (Rc::new(RecordingFrontend::default()), Instant::now());
            limiter
                .engine
                .borrow_mut()
                .open(front.clone(), 9, &mut request(1), now);
            let begin = || {
                limiter
                    .engine
                    .borrow_mut()
                    .begin(RequestId(1), HostId(5), (0, u64::MAX), now)
                    .expect("within the cap")
            };
            let (first, second) = (begin(), begin());
            let used = UsageFigures {
                metered: 37,
                units: 2.5,
            };
            done(
                &limiter,
                &first,
                CallResult {
                    value: b"bed".to_vec(),
                    used,
                    ..Outcome::Good.into()
                },
            );
            done(
                &limiter,
                &second,
                CallResult {
                    value: b"other".to_vec(),
                    ..Outcome::Good.into()
                },
            );
            give_up(&limiter, RequestId(1));
            assert!(!answer(&limiter, RequestId(1), Answer::Failed));
            assert_eq!(*front.0.borrow(), [(9, Answer::Served(b"bed".to_vec()))]);
            for number in 0..2 {
                let event = next(&limiter).await;
                let expected = if number == 0 { (37, 2.5) } else { (0, 0.0) };
                assert!(
                    matches!(event, Event::AttemptDone { attempt, metered_use, true_units, .. }
                        if attempt == number && (metered_use, true_units) == expected),
                    "{event:?}"
                );
            }
        });
    }
}
