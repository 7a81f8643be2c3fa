//! Tests of the delays of a fleet that starts at the same moment, and of their bounds.

use super::*;

/// The time that the service needs for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// The time that the service spends on a call that has timed out.
const TIMED_OUT_CALL_TIME: Duration = Duration::from_millis(1);
/// The time that a call waits for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const OBSERVED_TIME: Duration = Duration::from_secs(30);

/// The time of each limiter's first call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FirstCall {
    /// All limiters call immediately.
    Immediate,
    /// The first calls are spread by [`Backoff::initial_delay`].
    Spread,
}

/// The state of a fleet of 100 limiters after [`OBSERVED_TIME`].
#[derive(Debug, PartialEq, Eq)]
struct FleetResult {
    /// Limiters that were never answered.
    unanswered: usize,
    failed_calls: usize,
}

/// Simulates 100 limiters that start at the same moment and call a service that handles one call at a time.
fn start_fleet(delay: Duration, first_call: FirstCall) -> FleetResult {
    let mut backoffs: Vec<_> = (0..100)
        .map(|seed| Backoff::new(delay, delay, seed))
        .collect();
    let mut next_calls: Vec<Option<Duration>> = backoffs
        .iter_mut()
        .map(|backoff| match first_call {
            FirstCall::Immediate => Some(Duration::ZERO),
            FirstCall::Spread => Some(backoff.initial_delay()),
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
            // A call that has timed out stays in the queue of the service, which still spends time on it.
            service_free_at += TIMED_OUT_CALL_TIME;
            let delay = backoffs[limiter].next_delay();
            next_calls[limiter] = Some(called_at + CALL_TIMEOUT + delay);
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

/// Returns the time of the earliest call and the limiter that makes it; `None` where no call is due.
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
    let delay = Duration::from_secs(4);
    assert_eq!(start_fleet(delay, FirstCall::Spread), all_answered);
}

#[test]
fn fleet_with_simultaneous_first_calls_fails_many_calls() {
    let FleetResult { failed_calls, .. } =
        start_fleet(Duration::from_millis(100), FirstCall::Immediate);
    assert!(failed_calls >= 40, "{failed_calls} calls failed");
}

#[test]
fn answer_resets_the_backoff() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5), 1);
    (0..20).for_each(|_| assert!(backoff.next_delay() <= Duration::from_secs(5)));
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(100));
}
