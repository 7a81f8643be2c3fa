//! Retries: within the deduplication group and window, and within the retry budget.

use crate::common::*;
use quartzcleat::api::*;

#[test]
fn retry_stays_within_dedup_group_and_window() {
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(1, 5);
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    let (_, again) = attempt(&actions).expect("a retry");
    assert_eq!(again.0.div_ceil(2), host.0.div_ceil(2), "same cell");
    // Only while its group knows the previous attempt; a first attempt may begin at any time.
    let within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Attempt { begins_within, .. } => Some(*begins_within),
            _ => None,
        })
    };
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(1, 5);
    rig.now += S / 2;
    assert_eq!(
        within(&rig.done(id, 0, host, Outcome::Reset, false)),
        Some(3 * S / 2)
    );
    let (id, host) = rig.passed(1, 6);
    rig.now += S / 4;
    assert_eq!(
        within(&rig.done(id, 0, host, Outcome::ConnectFailed, false)),
        Some(u64::MAX)
    );
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(1, 5);
    rig.now += 2 * S + MS;
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    assert_eq!((attempt(&actions), failed(&actions, id)), (None, true));
}

#[test]
fn attempt_that_never_ran_is_retried_without_retry_tokens() {
    // The first retry spends the only token; after it, only an attempt that never ran is retried.
    for (outcome, again) in [
        (Outcome::Rejected, 4),
        (Outcome::ConnectFailed, 4),
        (Outcome::Reset, 1),
    ] {
        let mut rig = Rig::new(settings(), 12);
        let (id, mut host) = rig.passed(0, 5);
        let mut sent_again = 0;
        while let Some((_, next)) = attempt(&rig.done(id, sent_again, host, outcome, false)) {
            (host, sent_again) = (next, sent_again + 1);
        }
        assert_eq!(sent_again, again, "{outcome:?}: five attempts at most");
    }
}
