//! Tests of [`ExclusiveFence`].

use super::*;

#[test]
fn operation_waits_for_the_one_in_progress_and_a_stale_one_is_rejected() {
    let token = |round| FencingToken {
        round,
        proposer: 0,
        incarnation: 1,
    };
    let mut fence = ExclusiveFence::default();
    assert_eq!(fence.begin(token(1)), Ok(()));
    assert_eq!(fence.begin(token(2)), Err(BeginError::InProgress));
    fence.end();
    assert_eq!(fence.begin(token(2)), Ok(()));
    fence.end();
    assert_eq!(
        fence.begin(token(1)),
        Err(BeginError::Stale(StaleToken { highest: token(2) }))
    );
    assert_eq!(
        fence.begin(token(2)),
        Ok(()),
        "a rejected operation does not count as in progress"
    );
}
