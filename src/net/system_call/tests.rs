//! Errors of system calls that are passed over.

use super::*;

#[test]
fn interrupted_call_is_made_again() {
    let mut results = [
        Err(io::ErrorKind::Interrupted.into()),
        Err(io::ErrorKind::Interrupted.into()),
        Ok(7),
    ]
    .into_iter();
    let result = repeat_interrupted(|| results.next().expect("no call after the last result"));
    assert_eq!(result.expect("the third call succeeds"), 7);
}

#[test]
fn other_errors_of_a_call_are_returned() {
    let result: io::Result<()> = repeat_interrupted(|| Err(io::ErrorKind::WouldBlock.into()));
    let error = result.expect_err("the call fails");
    assert_eq!(error.kind(), io::ErrorKind::WouldBlock);
}
