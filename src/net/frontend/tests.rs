//! Tests that a frontend of any protocol needs only its context.

use super::*;
use crate::api::Event;
use crate::net::engine::tests::{request, RecordingFrontend};
use crate::net::engine::Answer;
use crate::net::stages::complete;
use crate::net::tests::{next_event, with_limiter};

/// Requests of a frontend reach the engine and are answered once; abandoned requests are reported to the engine.
#[test]
fn frontend_works_with_its_context_alone() {
    with_limiter(&[], |limiter| async move {
        let context = limiter.pipeline().frontend_context();
        let frontend = Rc::new(RecordingFrontend::default());
        let submit = |sequence, id| {
            context
                .handler
                .handle_request(frontend.clone(), sequence, request(id));
        };
        submit(7, 1);
        submit(8, 2);
        // A second request with the id of an open one fails.
        submit(9, 1);
        assert_eq!(*frontend.0.borrow(), [(9, Answer::Failed)]);
        context.handler.abandon_request(RequestId(2));
        complete::fail_if_open(limiter.pipeline(), RequestId(1));
        assert_eq!(
            frontend.0.borrow().as_slice(),
            [(9, Answer::Failed), (7, Answer::Failed)]
        );
        for expected in [1, 2] {
            let event = next_event(&limiter).await;
            assert!(
                matches!(event, Event::Request { id, .. } if id == RequestId(expected)),
                "{event:?}"
            );
        }
        assert!(matches!(
            next_event(&limiter).await,
            Event::Abandoned { id: RequestId(2) }
        ));
        assert_eq!(context.memory.total(), 0);
    });
}
