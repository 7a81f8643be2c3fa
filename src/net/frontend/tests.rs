//! Tests that a frontend of any protocol needs only its context.

use super::*;
use crate::api::{CustomerId, Event};
use crate::net::engine::tests::{request, RecordingFrontend};
use crate::net::engine::Answer;
use crate::net::memory::Owner;
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

/// What the engine keeps of customers counted nowhere: 65,600 customers that came once within 12 s took a limiter of 32 MB
/// to 33.7 MB (issue 51). Past their part of the memory, while the requests of all others wait for the counter, requests of
/// new customers are rejected.
#[test]
fn customers_that_come_once_are_limited_by_the_memory() {
    const CUSTOMERS: u64 = 1_000;
    let little_memory = ("\"memory_mb\": 192", "\"memory_mb\": 4");
    with_limiter(&[little_memory], |limiter| async move {
        limiter.engine().resume();
        let context = limiter.pipeline().frontend_context();
        let frontend = Rc::new(RecordingFrontend::default());
        for number in 0..CUSTOMERS {
            let mut request = request(number);
            request.customer = CustomerId(number);
            let handler = &context.handler;
            handler.handle_request(frontend.clone(), number, request);
        }
        let customer_bytes = context.limits.memory.customer_bytes;
        let max_customers = context.memory.capacity() / 4 * 3 / 2 / customer_bytes;
        assert_eq!(limiter.engine().customer_count(), max_customers);
        let reserved = context.memory.reserved(Owner::Customers);
        assert_eq!(reserved, max_customers * customer_bytes);
        let answers = frontend.0.borrow();
        let rejected = CUSTOMERS as usize - max_customers;
        assert_eq!(answers.len(), rejected);
        assert!(answers
            .iter()
            .all(|(_, answer)| matches!(answer, Answer::Rejected { .. })));
    });
}
