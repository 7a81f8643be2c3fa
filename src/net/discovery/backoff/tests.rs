//! A fleet that starts at one moment, and the bounds of the pauses.

use super::*;

/// The time that the service needs for an answer, and for a call that has given up.
const ANSWER_TIME: Duration = Duration::from_millis(40);
const GIVEN_UP_CALL_TIME: Duration = Duration::from_millis(1);
/// How long a call waits for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const OBSERVED_TIME: Duration = Duration::from_secs(30);

/// When each limiter makes its first call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FirstCall {
    AtOnce,
    Spread,
}

/// A fleet of a hundred limiters after [`OBSERVED_TIME`].
#[derive(Debug, PartialEq, Eq)]
struct FleetResult {
    /// Limiters that were never answered.
    unanswered: usize,
    failed_calls: usize,
}

/// A hundred limiters start at one moment, before a service that answers their calls one after another.
fn start_fleet(pause: Duration, first_call: FirstCall) -> FleetResult {
    let mut backoffs: Vec<_> = (0..100)
        .map(|seed| Backoff::new(pause, pause, seed))
        .collect();
    let mut next_calls: Vec<Option<Duration>> = backoffs
        .iter_mut()
        .map(|backoff| match first_call {
            FirstCall::AtOnce => Some(Duration::ZERO),
            FirstCall::Spread => Some(backoff.first()),
        })
        .collect();
    let mut service_free_at = Duration::ZERO;
    let mut failed_calls = 0;
    while let Some((called_at, limiter)) = earliest_call(&next_calls) {
        if called_at > OBSERVED_TIME {
            break;
        }
        let served_at = service_free_at.max(called_at);
        if served_at.saturating_sub(called_at) > CALL_TIMEOUT {
            failed_calls += 1;
            // A call that has given up had kept its place in the queue for all that time.
            service_free_at += GIVEN_UP_CALL_TIME;
            let pause = backoffs[limiter].after_failure();
            next_calls[limiter] = Some(called_at + CALL_TIMEOUT + pause);
        } else {
            service_free_at = served_at + ANSWER_TIME;
            next_calls[limiter] = None;
        }
    }
    FleetResult {
        unanswered: next_calls.iter().flatten().count(),
        failed_calls,
    }
}

/// The time of the earliest call, and the limiter that makes it.
fn earliest_call(next_calls: &[Option<Duration>]) -> Option<(Duration, usize)> {
    let calls = next_calls.iter().zip(0..);
    calls
        .filter_map(|(called_at, limiter)| Some(((*called_at)?, limiter)))
        .min()
}

#[test]
fn fleet_with_spread_first_calls_is_answered_without_a_failure() {
    let all_answered = FleetResult {
        unanswered: 0,
        failed_calls: 0,
    };
    let pause = Duration::from_secs(4);
    assert_eq!(start_fleet(pause, FirstCall::Spread), all_answered);
}

#[test]
fn fleet_that_calls_at_once_fails_many_calls() {
    let FleetResult { failed_calls, .. } =
        start_fleet(Duration::from_millis(100), FirstCall::AtOnce);
    assert!(failed_calls >= 40, "{failed_calls} calls failed");
}

#[test]
fn answer_resets_the_backoff() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5), 1);
    (0..20).for_each(|_| assert!(backoff.after_failure() <= Duration::from_secs(5)));
    backoff.answered();
    assert!(backoff.after_failure() <= Duration::from_millis(100));
}
