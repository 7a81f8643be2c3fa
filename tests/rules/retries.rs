//! Retries: within the deduplication scope and window, and within the retry budget.

use quartzcleat::api::{Nanos, Outcome};
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    cell_of_pair, settings, DEDUP_WINDOW, IDEMPOTENT, KEYED_WITHIN_CELL, MILLISECOND, SECOND,
};

#[test]
fn retry_stays_within_dedup_scope() {
    let mut harness = EngineHarness::new(settings(), 4);
    let sent = harness.send(KEYED_WITHIN_CELL, 5);
    let retry = harness.fail(sent, Outcome::Reset).attempt();
    let retry = retry.expect("a retry");
    assert_eq!(cell_of_pair(retry.host), cell_of_pair(sent.host));
}

#[test]
fn retry_begins_while_its_cell_knows_the_previous_attempt() {
    let mut harness = EngineHarness::new(settings(), 4);
    let sent = harness.send(KEYED_WITHIN_CELL, 5);
    harness.now += SECOND / 2;
    let retry = harness.fail(sent, Outcome::Reset).attempt();
    let begins_within = retry.map(|retry| retry.begins_within);
    assert_eq!(begins_within, Some(DEDUP_WINDOW - SECOND / 2));
}

#[test]
fn retry_of_an_attempt_that_never_ran_may_begin_at_any_time() {
    let mut harness = EngineHarness::new(settings(), 4);
    let sent = harness.send(KEYED_WITHIN_CELL, 6);
    harness.now += SECOND / 4;
    let retry = harness.fail(sent, Outcome::ConnectFailed).attempt();
    let begins_within = retry.map(|retry| retry.begins_within);
    assert_eq!(begins_within, Some(Nanos::MAX));
}

#[test]
fn request_fails_without_retry_after_its_dedup_window() {
    let mut harness = EngineHarness::new(settings(), 4);
    let sent = harness.send(KEYED_WITHIN_CELL, 5);
    harness.now += DEDUP_WINDOW + MILLISECOND;
    let actions = harness.fail(sent, Outcome::Reset);
    assert_eq!(actions.attempt(), None);
    assert!(actions.is_failed(sent.id));
}

/// The retries of a request whose attempts all end with an outcome.
fn retries_with(outcome: Outcome) -> u32 {
    let mut harness = EngineHarness::new(settings(), 12);
    let mut sent = harness.send(IDEMPOTENT, 5);
    let mut retries = 0;
    loop {
        let ended = EndedAttempt::new(sent.id, sent.host, outcome).of_attempt(retries);
        let Some(retry) = harness.end_attempt(ended).attempt() else {
            return retries;
        };
        sent = retry;
        retries += 1;
    }
}

/// The first retry spends the only token; after it, only an attempt that never ran is retried, five attempts at most.
#[test]
fn attempt_that_never_ran_is_retried_without_retry_tokens() {
    for (outcome, retries) in [
        (Outcome::Rejected, 4),
        (Outcome::ConnectFailed, 4),
        (Outcome::Reset, 1),
    ] {
        assert_eq!(retries_with(outcome), retries, "{outcome:?}");
    }
}
