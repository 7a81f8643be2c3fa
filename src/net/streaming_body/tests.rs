//! Tests of the buffer's capacity and of the report of its end.

use super::*;
use crate::net::memory::{MemoryBudget, Owner};
use crate::net::tests::with_limiter;

#[test]
fn buffer_keeps_to_its_capacity_and_is_released() {
    with_limiter(&[], |limiter| async move {
        let memory = MemoryBudget::new(limiter.limits());
        check_buffer(&memory);
        assert_eq!(memory.total(), 0);
    });
}

/// Writes and reads a value of 100 bytes through a buffer of 8.
fn check_buffer(memory: &Rc<MemoryBudget>) {
    let body = StreamingBody::new(100, 8, memory.hold(Owner::StreamedValues, 16));
    let mut output = Vec::new();
    let mut total = 0;
    assert_eq!(memory.total(), 16);
    for _ in 0..10 {
        body.write(&vec![7; body.free_capacity()]);
        assert_eq!(
            (body.free_capacity(), body.read(&mut output)),
            (0, ReadOutcome::MoreToCome)
        );
        assert!(output.len() <= 8);
        total += output.len();
        output.clear();
    }
    assert_eq!(total, 80);
    body.write(&[7; 4]);
    body.complete();
    body.fail();
    assert_eq!(
        (body.read(&mut output), output.len()),
        (ReadOutcome::Complete, 4)
    );
}

#[test]
fn failure_is_reported_after_the_written_bytes() {
    with_limiter(&[], |limiter| async move {
        let memory = MemoryBudget::new(limiter.limits());
        check_failure(&memory);
    });
}

fn check_failure(memory: &Rc<MemoryBudget>) {
    let body = StreamingBody::new(100, 8, memory.hold(Owner::StreamedValues, 16));
    let mut output = vec![0; 6];
    body.write(&[1, 2, 3]);
    body.fail();
    assert_eq!(
        (body.read(&mut output), output.len()),
        (ReadOutcome::MoreToCome, 8)
    );
    output.clear();
    assert_eq!(
        (body.read(&mut output), output),
        (ReadOutcome::Failed, vec![3])
    );
}
