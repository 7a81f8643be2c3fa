//! Attempts and counter calls of a limiter.

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
fn counter_answers_arrive_in_the_order_of_the_calls() {
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

#[test]
fn attempts_keep_to_cap_and_deadline() {
    let mut limiter = Limiter::new(Settings::default(), 1, 0, 0);
    let request = RequestId(1);
    limiter.open_requests.insert(
        request,
        OpenRequest {
            class: ClassIndex(0),
            operation: 1,
            deadline: 100,
            attempts: 0,
        },
    );
    let started = limiter
        .start_attempt(request, HostIndex(0), 5, 2)
        .map(|started| started.attempt);
    assert_eq!(started, Ok(AttemptIndex(0)));
    let mut not_allowed = |request, now| limiter.start_attempt(request, HostIndex(0), now, 2);
    assert_eq!(
        not_allowed(request, 100),
        Err(AttemptNotAllowed {
            attempt: AttemptIndex(1)
        })
    );
    assert_eq!(
        not_allowed(request, 5),
        Err(AttemptNotAllowed {
            attempt: AttemptIndex(2)
        })
    );
    assert_eq!(
        not_allowed(RequestId(2), 5),
        Err(AttemptNotAllowed {
            attempt: AttemptIndex(0)
        })
    );
}
