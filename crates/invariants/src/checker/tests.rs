use super::*;
use crate::process::{PartnerIndex, Process};
use quartzcleat_decision::api::{CellId, ZoneId};

const MS: Nanos = 1_000_000;

fn limits(effect: Effect, dedup_scope: DedupScope) -> InvariantLimits {
    let class = ClassLimits {
        effect,
        dedup_scope,
        dedup_window: 4_000 * MS,
    };
    InvariantLimits {
        classes: vec![class],
        max_attempts: 4,
        drain_grace: 1_000 * MS,
        answer_grace: 16 * MS,
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

fn record(at: Nanos, fact: Fact) -> Record {
    Record { at: at * MS, fact }
}

fn received(at: Nanos, deadline: Nanos) -> Record {
    let fact = Fact::RequestReceived {
        request: ID,
        limiter: LimiterIndex(0),
        operation: 1,
        class: ClassIndex(0),
        partner: PartnerIndex(0),
        units: 1.0,
        deadline: deadline * MS,
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
fn each_request_has_one_answer_in_time_with_a_value_of_a_host() {
    use Effect::Idempotent;
    assert_eq!(
        violated(Idempotent, DedupScope::All, &[received(0, 900)]),
        [Invariant::OneAnswer]
    );
    let twice = [
        received(0, 900),
        answered(1, Answer::Failed),
        answered(2, Answer::Failed),
    ];
    assert_eq!(
        violated(Idempotent, DedupScope::All, &twice),
        [Invariant::OneAnswer]
    );
    assert_eq!(
        violated(
            Idempotent,
            DedupScope::All,
            &[received(0, 900), answered(950, Answer::Failed)]
        ),
        [Invariant::OneAnswer]
    );
    assert_eq!(
        violated(
            Idempotent,
            DedupScope::All,
            &[received(0, 900), answered(1, Answer::Served)]
        ),
        [Invariant::Values]
    );
    let left = [
        received(0, 900),
        Record {
            at: 5,
            fact: Fact::ClientLeft { request: ID },
        },
    ];
    assert_eq!(violated(Idempotent, DedupScope::All, &left), []);
}

#[test]
fn attempts_are_sequential_and_capped() {
    let two = [
        received(0, 900),
        sent(1, 0, 0),
        sent(2, 1, 1),
        answered(3, Answer::Failed),
    ];
    assert!(violated(Effect::Idempotent, DedupScope::All, &two).contains(&Invariant::AttemptCap));
    let mut five = vec![received(0, 900)];
    for attempt in 0..5 {
        five.push(sent(u64::from(attempt) * 2, attempt, 0));
        five.push(ended(
            u64::from(attempt) * 2 + 1,
            attempt,
            Outcome::Rejected,
        ));
    }
    five.push(answered(20, Answer::Failed));
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &five),
        [Invariant::AttemptCap]
    );
}

#[test]
fn possibly_executed_request_is_repeated_only_as_its_class_allows() {
    let again = |second: Nanos, host: usize| {
        let first = ended(2, 0, Outcome::Reset);
        [
            received(0, 900),
            sent(1, 0, 0),
            first,
            sent(second, 1, host),
            ended(second, 1, Outcome::Rejected),
            answered(899, Answer::Failed),
        ]
    };
    assert_eq!(
        violated(Effect::Unsafe, DedupScope::Cell, &again(3, 1)),
        [Invariant::SafeRepeats]
    );
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::All, &again(3, 1)),
        []
    );
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::Cell, &again(3, 1)),
        [Invariant::SafeRepeats]
    );
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::Cell, &again(3, 0)),
        []
    );
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::All, &again(4_001, 0)),
        [Invariant::SafeRepeats]
    );
    let refused = [
        received(0, 900),
        sent(1, 0, 0),
        ended(2, 0, Outcome::Reset),
        answered(3, Answer::Rejected(0)),
    ];
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::Cell, &refused),
        [Invariant::SafeRepeats]
    );
    assert_eq!(
        violated(Effect::IdempotentWithKey, DedupScope::All, &refused),
        []
    );
}

#[test]
fn drain_has_one_grace_period() {
    let run = |sent_at: Nanos| {
        vec![
            draining(0),
            draining(900),
            received(800, 9_000),
            sent(sent_at, 0, 0),
            ended(sent_at, 0, Outcome::Rejected),
            answered(sent_at, Answer::Rejected(0)),
        ]
    };
    assert_eq!(violated(Effect::Idempotent, DedupScope::All, &run(999)), []);
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &run(1_001)),
        [Invariant::Drains]
    );
}

#[test]
fn overload_of_a_host_that_warms_up_is_a_violation() {
    let overloaded = record(0, Fact::HostOverloaded { host: HostIndex(0) });
    assert_eq!(
        violated(Effect::Idempotent, DedupScope::All, &[overloaded]),
        [Invariant::SlowStart]
    );
}
