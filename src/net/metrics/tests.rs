//! Tests of the counts by cause and by host.

use super::*;
use crate::api::{AttemptIndex, LoadReport, RequestId, Timer};

/// Actions are counted by the kind of event that leads to them, and ended attempts by host and outcome.
#[test]
fn events_and_actions_are_counted_by_cause_and_host() {
    let mut metrics = Metrics::new("one".into());
    let id = RequestId(1);
    let host = HostId(5);
    let done = |outcome| Event::AttemptDone {
        id,
        attempt: AttemptIndex(0),
        host,
        outcome,
        elapsed: 1,
        is_request_finished: false,
        metered_use: 0,
        true_units: 0.0,
        load: LoadReport::default(),
    };
    let cause = metrics.record_event(&done(Outcome::Rejected));
    assert_eq!(cause, Cause::Attempt);
    let retry = Action::Attempt {
        id,
        host,
        timeout: 0,
        begins_within: 1,
    };
    metrics.record_actions(cause, &[retry, Action::Reject { id, retry_after: 0 }]);
    let cause = metrics.record_event(&Event::Timer {
        timer: Timer::LatencyObjective { id },
    });
    metrics.record_actions(cause, &[Action::Reject { id, retry_after: 0 }]);
    metrics.record_event(&done(Outcome::Good));
    metrics.record_connect_failure(host);
    let counts = metrics.hosts[&host];
    assert_eq!(
        (
            counts.attempts,
            counts.good,
            counts.rejected,
            counts.connect_failures
        ),
        (1, 1, 1, 1)
    );
    assert_eq!(
        (
            metrics.rejections.after_attempt,
            metrics.rejections.by_time,
            metrics.served
        ),
        (1, 1, 1)
    );
}
