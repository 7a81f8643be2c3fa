//! Tests of the buffer's capacity and of the report of its end.

use super::*;

#[test]
fn buffer_keeps_to_its_capacity_and_is_released() {
    let buffered = Rc::new(Cell::new(0));
    let body = StreamingBody::new(100, 8, buffered.clone());
    let mut output = Vec::new();
    let mut total = 0;
    assert_eq!(buffered.get(), 16);
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
    drop(body);
    assert_eq!(buffered.get(), 0);
}

#[test]
fn failure_is_reported_after_the_written_bytes() {
    let body = StreamingBody::new(100, 8, Rc::default());
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
