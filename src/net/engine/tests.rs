//! Tests of the clock and the limits on attempts, and fixtures that the tests of other modules share.

use super::*;
use crate::api::{AttemptIndex, ClassIndex, CustomerId, HostId, LimiterIndex, PlanIndex};
use crate::net::tests::with_limiter;
use std::rc::Rc;
use std::time::Duration;

impl EngineDriver {
    /// Returns the open requests.
    pub(crate) fn requests(&self) -> &RefCell<OpenRequests> {
        &self.requests
    }

    /// Stops the handling of events: they stay in the queue from now on.
    pub(crate) fn pause(&self) {
        self.is_running.set(true);
    }

    /// Handles events again, from the next one on.
    pub(crate) fn resume(&self) {
        self.is_running.set(false);
    }

    /// Removes the next event from the queue; `None` if the queue is empty.
    pub(crate) fn take_event(&self) -> Option<Event> {
        self.next_event()
    }
}

/// A frontend that records the answers it receives, each with its sequence number.
#[derive(Default)]
pub(crate) struct RecordingFrontend(pub RefCell<Vec<(u64, Answer)>>);

impl Frontend for RecordingFrontend {
    fn answer(&self, sequence: u64, answer: Answer) {
        self.0.borrow_mut().push((sequence, answer));
    }
}

/// Returns a recipient whose answer the test does not read.
pub(crate) fn no_reply() -> ReplyTo {
    reply_to(&Rc::new(RecordingFrontend::default()), 0)
}

/// Returns a recipient at a frontend.
pub(crate) fn reply_to(frontend: &Rc<RecordingFrontend>, sequence: u64) -> ReplyTo {
    ReplyTo {
        frontend: frontend.clone(),
        sequence,
    }
}

/// Returns the order of an attempt without a timeout or a limit on its start.
pub(crate) fn attempt_order(id: u64, host: HostId) -> AttemptOrder {
    AttemptOrder {
        id: RequestId(id),
        host,
        timeout: 0,
        begins_within: Nanos::MAX,
    }
}

/// Returns a request of the first class of `examples/toy.json`.
pub(crate) fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassIndex(0),
        plan: PlanIndex(1),
        customer: CustomerId(7),
        units: 1.0,
        spread: 1,
        first_limiter: LimiterIndex(0),
        flags: 0,
        wait: Duration::from_millis(900),
        payload: Payload {
            bytes: b"Q.ASKd=900,c=x".to_vec(),
            arguments: vec![0..5, 5..14],
            wait: 7..10,
            ..Payload::default()
        },
    }
}

#[test]
fn clocks_show_unix_time_and_never_go_back() {
    let one = Clock::new();
    let two = Clock::new();
    let now = Instant::now();
    assert!(one.at(now).abs_diff(two.at(now)) < 50_000_000);
    assert!(one.at(now + Duration::from_millis(3)) >= one.at(now) + 3_000_000);
    assert!(
        one.at(now) > 1_700_000_000_000_000_000,
        "Unix time, not time since the start"
    );
}

/// Attempts are numbered in the order in which they begin, time out at the request's deadline at the latest, and do not
/// begin past the limit on attempts or the deadline.
#[test]
fn attempts_keep_to_their_limit_and_deadline() {
    with_limiter(&[], |limiter| async move {
        let mut requests = limiter.engine().requests().borrow_mut();
        let now = Instant::now();
        let deadline = requests.open(no_reply(), &mut request(1), now);
        let host = HostId(5);
        let order = |id| AttemptOrder {
            begins_within: 1,
            ..attempt_order(id, host)
        };
        for timeout in [0, 5_000_000_000, 1_000_000, 0] {
            let order = AttemptOrder {
                timeout,
                ..attempt_order(1, host)
            };
            let call = requests
                .begin_attempt(order, now)
                .expect("within the limit");
            let expected = if timeout == 1_000_000 {
                now + Duration::from_millis(1)
            } else {
                deadline
            };
            assert_eq!(call.deadline, expected);
        }
        let not_allowed = |attempt| {
            Some(AttemptNotAllowed {
                attempt: AttemptIndex(attempt),
            })
        };
        assert_eq!(requests.begin_attempt(order(1), now).err(), not_allowed(4));
        requests.open(no_reply(), &mut request(2), now);
        assert_eq!(
            requests.begin_attempt(order(2), deadline).err(),
            not_allowed(0)
        );
        assert_eq!(requests.begin_attempt(order(3), now).err(), not_allowed(0));
        // The id stays in use until the last attempt has ended.
        requests.close(RequestId(1));
        assert!(requests.contains(RequestId(1)));
        for attempt in 0..4 {
            requests.end_attempt(AttemptId {
                request: RequestId(1),
                attempt: AttemptIndex(attempt),
            });
        }
        assert!(!requests.contains(RequestId(1)));
    });
}
