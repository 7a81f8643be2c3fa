//! Tests of a limiter's attempts and counter calls.

use super::*;
use quartzcleat_decision::api::Outcome;

fn good(total: f64) -> CounterReply {
    CounterReply {
        outcome: Outcome::Good,
        total,
    }
}

fn failed(outcome: Outcome) -> CounterReply {
    CounterReply {
        outcome,
        total: 0.0,
    }
}

#[test]
fn counter_replies_are_delivered_in_the_order_of_the_calls() {
    let mut limiter = Limiter::new(Settings::default(), 1, 0, 0);
    let first = limiter.start_call("a", 0);
    let second = limiter.start_call("b", 1);
    assert!(limiter.end_call(second, good(2.0), 5).is_empty());
    let events = limiter.end_call(first, failed(Outcome::Timeout), 9);
    let replies: Vec<_> = events
        .iter()
        .map(|event| match event {
            Event::CounterReplied {
                name,
                outcome,
                elapsed,
                ..
            } => (name.as_str(), *outcome, *elapsed),
            _ => ("", Outcome::Error, 0),
        })
        .collect();
    assert_eq!(
        replies,
        [("a", Outcome::Timeout, 9), ("b", Outcome::Good, 4)]
    );
    assert!(
        limiter.end_call(first, good(1.0), 10).is_empty(),
        "each call ends once"
    );
}

const REQUEST: RequestId = RequestId(1);
const DEADLINE: Nanos = 100;
const MAX_ATTEMPTS: u32 = 2;

/// A limiter with one open request.
fn limiter_with_request() -> Limiter {
    let mut limiter = Limiter::new(Settings::default(), 1, 0, 0);
    limiter.open_requests.insert(
        REQUEST,
        OpenRequest {
            class: ClassIndex(0),
            operation: 1,
            deadline: DEADLINE,
            attempts: 0,
        },
    );
    limiter
}

fn start_attempt(
    limiter: &mut Limiter,
    request: RequestId,
    now: Nanos,
) -> Result<AttemptIndex, AttemptNotAllowed> {
    let started = limiter.start_attempt(request, HostIndex(0), now, MAX_ATTEMPTS);
    started.map(|started| started.attempt)
}

fn not_allowed(attempt: u32) -> Result<AttemptIndex, AttemptNotAllowed> {
    Err(AttemptNotAllowed {
        attempt: AttemptIndex(attempt),
    })
}

#[test]
fn attempts_are_counted_up_to_the_cap() {
    let mut limiter = limiter_with_request();
    assert_eq!(start_attempt(&mut limiter, REQUEST, 5), Ok(AttemptIndex(0)));
    assert_eq!(start_attempt(&mut limiter, REQUEST, 5), Ok(AttemptIndex(1)));
    assert_eq!(start_attempt(&mut limiter, REQUEST, 5), not_allowed(2));
}

#[test]
fn attempt_at_the_deadline_is_not_sent_but_counted() {
    let mut limiter = limiter_with_request();
    assert_eq!(start_attempt(&mut limiter, REQUEST, 5), Ok(AttemptIndex(0)));
    assert_eq!(
        start_attempt(&mut limiter, REQUEST, DEADLINE),
        not_allowed(1)
    );
    assert_eq!(start_attempt(&mut limiter, REQUEST, 5), not_allowed(2));
}

#[test]
fn attempt_of_an_unknown_request_is_not_allowed() {
    let mut limiter = limiter_with_request();
    assert_eq!(start_attempt(&mut limiter, RequestId(2), 5), not_allowed(0));
}
