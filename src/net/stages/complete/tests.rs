//! Tests that each request gets exactly one answer.

use super::*;
use crate::api::AttemptIndex;
use crate::net::engine::tests::{attempt_order, reply_to, request, RecordingFrontend};
use crate::net::engine::UsageFigures;
use crate::net::tests::{next_event, with_limiter};
use tokio::time::Instant;

/// The first good attempt answers the client; a later one is only reported to the engine.
#[test]
fn only_the_first_good_attempt_answers_the_client() {
    with_limiter(&[], |limiter| async move {
        let frontend = Rc::new(RecordingFrontend::default());
        let now = Instant::now();
        let engine = limiter.engine();
        let pipeline = limiter.pipeline();
        engine
            .requests()
            .borrow_mut()
            .open(reply_to(&frontend, 9), &mut request(1), now);
        let begin = || {
            let order = attempt_order(1, HostId(5));
            let begun = engine.requests().borrow_mut().begin_attempt(order, now);
            begun.expect("within the limit on attempts")
        };
        let first = begin();
        let second = begin();
        let result = CallResult {
            value: b"bed".to_vec().into(),
            usage: UsageFigures {
                metered: 37,
                units: 2.5,
            },
            ..Outcome::Good.into()
        };
        complete(pipeline, &first, result);
        let result = CallResult {
            value: b"other".to_vec().into(),
            ..Outcome::Good.into()
        };
        complete(pipeline, &second, result);
        fail_if_open(pipeline, RequestId(1));
        assert_eq!(
            answer(pipeline, RequestId(1), Answer::Failed),
            Delivery::RequestClosed
        );
        assert_eq!(
            *frontend.0.borrow(),
            [(9, Answer::Served(b"bed".to_vec().into()))]
        );
        for (number, expected) in [(0, (37, 2.5)), (1, (0, 0.0))] {
            let event = next_event(&limiter).await;
            assert!(
                matches!(event, Event::AttemptDone { attempt, metered_use, true_units, .. }
                    if attempt == AttemptIndex(number) && (metered_use, true_units) == expected),
                "{event:?}"
            );
        }
    });
}
