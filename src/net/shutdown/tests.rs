//! Requests under way while the program ends.

use super::*;
use crate::api::{Event, RequestId};
use crate::net::engine::tests::{request, RecordingFrontend};
use crate::net::engine::Answer;
use crate::net::stages::accept;
use crate::net::tests::{next, with_limiter};
use crate::net::Limiter;
use tokio::time::sleep;

const LONG: Duration = Duration::from_secs(60);

/// The end was asked for just now, and comes in a moment.
fn asked(limiter: &Rc<Limiter>, end: Duration) {
    limiter.limits().shutdown.timeout.set(end);
    limiter.shutdown().asked_at.set(Some(Instant::now()));
}

/// A request that is taken after SIGTERM and may wait for longer than the program lives has its answer before.
#[test]
fn what_is_taken_after_sigterm_is_answered_while_the_program_lives() {
    with_limiter(&[], |limiter| async move {
        let (front, mut asks) = (Rc::new(RecordingFrontend::default()), request(1));
        asks.wait = LONG;
        asked(&limiter, Duration::from_secs(3));
        let before = Instant::now();
        accept::accept(limiter.pipeline(), front.clone(), 0, asks);
        let last = limiter
            .shutdown()
            .last_answers(limiter.limits())
            .expect("the end was asked for");
        match next(&limiter).await {
            Event::Request { budget, .. } => {
                assert!(budget > 2_000_000_000, "it has its time up to then");
                assert!(
                    before + Duration::from_nanos(budget) <= last,
                    "and no more, whenever it came"
                );
            }
            other => panic!("{other:?}"),
        }
    });
}

/// Whatever was taken before and is open as the program ends is answered, with time left for the answer to go out.
#[test]
fn what_is_open_as_the_program_ends_is_answered_first() {
    with_limiter(&[], |limiter| async move {
        let (front, mut asks) = (Rc::new(RecordingFrontend::default()), request(1));
        asks.wait = LONG;
        accept::accept(limiter.pipeline(), front.clone(), 9, asks);
        assert!(matches!(next(&limiter).await, Event::Request { .. }));
        // Much time for the answer to go out, on however busy a machine.
        limiter.limits().shutdown.final_answer_margin.set(LONG);
        asked(&limiter, LONG + Duration::from_millis(200));
        let connection = limiter.shutdown().count_connection();
        let (closing, answered) = (limiter.clone(), front.clone());
        // The client's connection ends as it has its answer.
        spawn(async move {
            while answered.0.borrow().is_empty() {
                sleep(closing.limits().requests.deadline_margin).await;
            }
            drop(connection);
        });
        limiter.end().await;
        assert_eq!(*front.0.borrow(), [(9, Answer::Failed)]);
        assert_eq!(limiter.shutdown().connections(), 0, "not cut off");
        assert!(matches!(
            next(&limiter).await,
            Event::Abandoned { id: RequestId(1) }
        ));
    });
}
