//! Tests of the checker on runs that violate an invariant and on runs that do not. Times are in milliseconds.

use super::*;
use crate::process::{PartnerIndex, Process};
use quartzcleat_decision::api::{CellId, ZoneId};

const MILLISECOND: Nanos = 1_000_000;

fn limits(effect: Effect, dedup_scope: DedupScope) -> InvariantLimits {
    let class = ClassLimits {
        effect,
        dedup_scope,
        dedup_window: 4_000 * MILLISECOND,
    };
    InvariantLimits {
        classes: vec![class],
        max_attempts: 4,
        drain_grace: 1_000 * MILLISECOND,
        answer_grace: 16 * MILLISECOND,
        time_tolerance: 0,
    }
}

fn processes() -> Processes {
    let host = |cell| Process {
        name: format!("n{cell}"),
        zone: ZoneId(0),
        cell: CellId(cell),
    };
    Processes {
        hosts: (0..3).map(host).collect(),
        ..Processes::default()
    }
}

const ID: RequestId = RequestId(7);

fn record(at_ms: Nanos, fact: Fact) -> Record {
    Record {
        at: at_ms * MILLISECOND,
        fact,
    }
}

fn received(at: Nanos, deadline: Nanos) -> Record {
    let fact = Fact::RequestReceived {
        request: ID,
        limiter: LimiterIndex(0),
        operation: 1,
        class: ClassIndex(0),
        partner: PartnerIndex(0),
        units: 1.0,
        deadline: deadline * MILLISECOND,
    };
    record(at, fact)
}

fn sent(at: Nanos, attempt: u32, host: usize) -> Record {
    let fact = Fact::AttemptSent {
        limiter: LimiterIndex(0),
        request: ID,
        attempt: AttemptIndex(attempt),
        host: HostIndex(host),
        warming_up: false,
    };
    record(at, fact)
}

fn executed(at: Nanos) -> Record {
    let fact = Fact::Executed {
        host: HostIndex(0),
        request: ID,
        deduplicated: false,
    };
    record(at, fact)
}

fn ended(at: Nanos, attempt: u32, outcome: Outcome) -> Record {
    let fact = Fact::AttemptEnded {
        request: ID,
        attempt: AttemptIndex(attempt),
        outcome,
    };
    record(at, fact)
}

fn answered(at: Nanos, answer: Answer) -> Record {
    let fact = Fact::Answered {
        request: ID,
        answer,
    };
    record(at, fact)
}

fn draining(at: Nanos) -> Record {
    let fact = Fact::HostStateLearned {
        limiter: LimiterIndex(0),
        host: HostIndex(0),
        state: HostState::Draining,
    };
    record(at, fact)
}

fn violated(effect: Effect, dedup_scope: DedupScope, records: &[Record]) -> Vec<Invariant> {
    check(&processes(), &limits(effect, dedup_scope), records)
        .into_iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn correct_run_violates_nothing() {
    let run = [
        received(0, 900),
        sent(1, 0, 0),
        ended(2, 0, Outcome::Rejected),
        sent(3, 1, 1),
        executed(4),
        ended(5, 1, Outcome::Good),
        answered(5, Answer::Served),
    ];
    assert_eq!(violated(Effect::Unsafe, DedupScope::Cell, &run), []);
}

#[test]
fn request_without_an_answer_is_a_violation() {
    let run = [received(0, 900)];
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &run),
        [Invariant::OneAnswer]
    );
}

#[test]
fn second_answer_is_a_violation() {
    let run = [
        received(0, 900),
        answered(1, Answer::Failed),
        answered(2, Answer::Failed),
    ];
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &run),
        [Invariant::OneAnswer]
    );
}

#[test]
fn answer_after_the_deadline_is_a_violation() {
    let run = [received(0, 900), answered(950, Answer::Failed)];
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &run),
        [Invariant::OneAnswer]
    );
}

#[test]
fn served_answer_without_an_execution_is_a_violation() {
    let run = [received(0, 900), answered(1, Answer::Served)];
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &run),
        [Invariant::Values]
    );
}

#[test]
fn request_of_a_disconnected_client_needs_no_answer() {
    let left = record(5, Fact::ClientLeft { request: ID });
    assert_eq!(
        violated(
            Effect::Idempotent,
            DedupScope::All,
            &[received(0, 900), left]
        ),
        []
    );
}

#[test]
fn second_attempt_in_flight_is_a_violation() {
    let run = [
        received(0, 900),
        sent(1, 0, 0),
        sent(2, 1, 1),
        answered(3, Answer::Failed),
    ];
    let violated = violated(Effect::Idempotent, DedupScope::All, &run);
    assert!(violated.contains(&Invariant::AttemptCap));
}

#[test]
fn attempt_beyond_the_cap_is_a_violation() {
    let mut run = vec![received(0, 900)];
    for attempt in 0..5 {
        let at = Nanos::from(attempt) * 2;
        run.push(sent(at, attempt, 0));
        run.push(ended(at + 1, attempt, Outcome::Rejected));
    }
    run.push(answered(20, Answer::Failed));
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &run),
        [Invariant::AttemptCap]
    );
}

/// Records of a request whose first attempt may have been executed and which is then retried on a host.
fn repeated(second_at: Nanos, host: usize) -> [Record; 6] {
    [
        received(0, 900),
        sent(1, 0, 0),
        ended(2, 0, Outcome::Reset),
        sent(second_at, 1, host),
        ended(second_at, 1, Outcome::Rejected),
        answered(899, Answer::Failed),
    ]
}

#[test]
fn unsafe_request_that_may_have_been_executed_must_not_be_repeated() {
    assert_eq!(
        violated(Effect::Unsafe, DedupScope::Cell, &repeated(3, 1)),
        [Invariant::SafeRepeats]
    );
}

#[test]
fn request_with_key_may_be_repeated_within_its_scope_and_window() {
    let with_key = Effect::IdempotentWithKey;
    assert_eq!(violated(with_key, DedupScope::All, &repeated(3, 1)), []);
    assert_eq!(violated(with_key, DedupScope::Cell, &repeated(3, 0)), []);
}

#[test]
fn request_with_key_must_not_be_repeated_outside_its_scope() {
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::Cell, &repeated(3, 1)),
        [Invariant::SafeRepeats]
    );
}

#[test]
fn request_with_key_must_not_be_repeated_after_its_window() {
    assert_eq!(
        violated(
            Effect::IdempotentWithKey,
            DedupScope::All,
            &repeated(4_001, 0)
        ),
        [Invariant::SafeRepeats]
    );
}

/// Records of a request that is rejected although its attempt may have been executed.
fn rejected_after_possible_execution() -> [Record; 4] {
    [
        received(0, 900),
        sent(1, 0, 0),
        ended(2, 0, Outcome::Reset),
        answered(3, Answer::Rejected(0)),
    ]
}

#[test]
fn request_that_may_have_been_executed_must_not_be_rejected_if_a_retry_may_leave_its_scope() {
    let run = rejected_after_possible_execution();
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::Cell, &run),
        [Invariant::SafeRepeats]
    );
}

#[test]
fn request_that_may_have_been_executed_may_be_rejected_if_all_hosts_recognise_its_key() {
    let run = rejected_after_possible_execution();
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::All, &run),
        []
    );
}

/// Records of a request that is sent to a host whose drain was announced twice, at 0 ms and at 900 ms.
fn sent_to_draining_host(sent_at: Nanos) -> [Record; 6] {
    [
        draining(0),
        draining(900),
        received(800, 9_000),
        sent(sent_at, 0, 0),
        ended(sent_at, 0, Outcome::Rejected),
        answered(sent_at, Answer::Rejected(0)),
    ]
}

#[test]
fn attempt_within_the_grace_period_of_a_drain_is_no_violation() {
    let run = sent_to_draining_host(999);
    assert_eq!(violated(Effect::Idempotent, DedupScope::All, &run), []);
}

#[test]
fn repeated_announcement_of_a_drain_does_not_restart_the_grace_period() {
    let run = sent_to_draining_host(1_001);
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &run),
        [Invariant::Drains]
    );
}

#[test]
fn overload_of_a_host_that_is_warming_up_is_a_violation() {
    let overloaded = record(0, Fact::HostOverloaded { host: HostIndex(0) });
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &[overloaded]),
        [Invariant::SlowStart]
    );
}
