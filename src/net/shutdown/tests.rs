//! Tests with requests that are open while the process shuts down.

use super::*;
use crate::api::{Event, RequestId};
use crate::net::config;
use crate::net::engine::tests::{request, RecordingFrontend};
use crate::net::engine::Answer;
use crate::net::stages::accept;
use crate::net::tests::{next_event, with_limiter};
use crate::net::Limiter;
use tokio::time::sleep;

const LONG: Duration = Duration::from_secs(60);

/// Starts the shutdown of a process that must answer all requests within `answer_timeout`.
fn start_shutdown(limiter: &Rc<Limiter>, answer_timeout: Duration) {
    limiter.limits().shutdown.answer_timeout.set(answer_timeout);
    limiter.shutdown().set_deadlines();
}

/// A request that is accepted after SIGTERM, and whose client would wait past the end of the process, has a deadline
/// before that end.
#[test]
fn deadline_of_a_request_after_sigterm_is_before_the_end_of_the_process() {
    with_limiter(&[], |limiter| async move {
        let frontend = Rc::new(RecordingFrontend::default());
        let mut long_request = request(1);
        long_request.wait = LONG;
        start_shutdown(&limiter, Duration::from_secs(3));
        let before = Instant::now();
        accept::accept(limiter.pipeline(), frontend.clone(), 0, long_request);
        let deadlines = limiter.shutdown().deadlines();
        let last = deadlines.expect("the shutdown has started").answers;
        match next_event(&limiter).await {
            Event::Request { budget, .. } => {
                assert!(budget > 2_000_000_000, "it has time up to the last answers");
                assert!(before + Duration::from_nanos(budget) <= last, "and no more");
            }
            other => panic!("{other:?}"),
        }
    });
}

/// A request that is still open shortly before the process must end is answered, with time left for the client to read
/// the answer.
#[test]
fn open_request_is_answered_before_the_process_ends() {
    with_limiter(&[], |limiter| async move {
        let frontend = Rc::new(RecordingFrontend::default());
        let mut long_request = request(1);
        long_request.wait = LONG;
        accept::accept(limiter.pipeline(), frontend.clone(), 9, long_request);
        assert!(matches!(next_event(&limiter).await, Event::Request { .. }));
        // Leaves the client ample time to read the answer, even on a busy machine.
        limiter.limits().shutdown.exit_timeout.set(LONG);
        start_shutdown(&limiter, Duration::from_millis(200));
        let connection = limiter.shutdown().count_connection();
        let closing = limiter.clone();
        let answered = frontend.clone();
        // The client's connection ends once it has its answer.
        spawn(async move {
            while answered.0.borrow().is_empty() {
                sleep(closing.limits().requests.deadline_margin).await;
            }
            drop(connection);
        });
        limiter.end().await;
        assert_eq!(*frontend.0.borrow(), [(9, Answer::Failed)]);
        assert_eq!(limiter.shutdown().connections(), 0, "not cut off");
        assert!(matches!(
            next_event(&limiter).await,
            Event::Abandoned { id: RequestId(1) }
        ));
    });
}

/// A request that arrives when the time for answers is over is rejected, which promises that it has not run.
#[test]
fn request_past_the_answer_deadline_is_rejected_and_not_passed_to_the_engine() {
    with_limiter(&[], |limiter| async move {
        let frontend = Rc::new(RecordingFrontend::default());
        start_shutdown(&limiter, Duration::ZERO);
        accept::accept(limiter.pipeline(), frontend.clone(), 4, request(1));
        let answers = frontend.0.borrow();
        assert!(matches!(answers[..], [(4, Answer::Rejected { .. })]));
        assert!(limiter.engine().take_event().is_none());
    });
}

/// SIGKILL follows SIGTERM by the deadlines in force then. A reload during the shutdown does not postpone it.
#[test]
fn reload_during_the_shutdown_does_not_move_its_deadlines() {
    with_limiter(&[], |limiter| async move {
        start_shutdown(&limiter, Duration::from_secs(1));
        let before = limiter.shutdown().deadlines();
        let text = include_str!("../../../examples/toy.json");
        let longer = text.replace(
            "\"hardLimitNs\": 7500000000",
            "\"hardLimitNs\": 60000000000",
        );
        let new = config::parse(&longer, |_| None).expect("the configuration is valid");
        limiter.limits().update_from(&new.limits);
        assert_eq!(limiter.shutdown().deadlines(), before);
    });
}
