//! Tests that simulation runs follow their scenario, are deterministic, and satisfy the invariants.

mod scenario;

use quartzcleat_decision::api::{AttemptIndex, LimiterIndex, Outcome};
use quartzcleat_invariants::{check, Answer, Fact, HostIndex, InvariantLimits, Record, Violation};
use quartzcleat_simulation::oracle::{ChoicePath, FirstOption};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterCallOutcome, CounterMode, RetryPolicy, Scenario, ScenarioEvent,
};
use quartzcleat_simulation::{simulate, ChoicePoint, Oracle};
use scenario::{
    limiter_in_rotation, mixed_requests, request, scenario, step, BED_CHECK, BED_HOLD, MILLISECOND,
    SECOND, START,
};

fn answers(records: &[Record]) -> Vec<Answer> {
    let answer = |record: &Record| match record.fact {
        Fact::Answered { answer, .. } => Some(answer),
        _ => None,
    };
    records.iter().filter_map(answer).collect()
}

fn count(records: &[Record], is_counted: impl Fn(&Fact) -> bool) -> usize {
    records
        .iter()
        .filter(|record| is_counted(&record.fact))
        .count()
}

fn violations(scenario: &Scenario, records: &[Record]) -> Vec<Violation> {
    let limits = InvariantLimits::from_settings(&scenario.ground_truth, 0);
    check(&scenario.processes, &limits, records)
}

#[test]
fn request_is_served_after_its_work_and_two_network_delays() {
    let scenario = scenario(3, vec![step(&[0], request(1, BED_HOLD, LimiterIndex(0)))]);
    let run = simulate(&scenario, &mut FirstOption);
    assert!(run.is_complete);
    assert_eq!(answers(&run.records), [Answer::Served]);
    let answered = run
        .records
        .iter()
        .find(|record| matches!(record.fact, Fact::Answered { .. }))
        .expect("the request is answered");
    let elapsed = answered.at - START;
    // The elapsed time consists of an addition and a read at the counter, 110 ms of work and the delays to the host and
    // back.
    assert!(
        (110 * MILLISECOND..118 * MILLISECOND).contains(&elapsed),
        "{elapsed}"
    );
}

#[test]
fn same_scenario_gives_the_same_records() {
    let mut scenario = scenario(4, mixed_requests(40, 20 * MILLISECOND));
    scenario.log_deviation = 0.4;
    let first = simulate(&scenario, &mut FirstOption);
    let second = simulate(&scenario, &mut FirstOption);
    assert_eq!(first.records, second.records);
    scenario.seeds = vec![8];
    assert_ne!(
        simulate(&scenario, &mut FirstOption).records,
        first.records,
        "another seed gives other records"
    );
}

#[test]
fn quota_is_shared_by_all_limiters() {
    // 40 units within 200 ms over three limiters, on a plan with a burst of 8 units and a rate of 1.6 units per second.
    let steps = (0..40)
        .map(|number| {
            step(
                &[number * 5 * MILLISECOND],
                request(number, BED_HOLD, limiter_in_rotation(number)),
            )
        })
        .collect();
    let run = simulate(&scenario(9, steps), &mut FirstOption);
    let forwarded = count(&run.records, |fact| {
        matches!(
            fact,
            Fact::AttemptSent {
                attempt: AttemptIndex(0),
                ..
            }
        )
    });
    // At the start of a window the quota holds 6 units, the size of the largest request.
    assert!(
        (6..=10).contains(&forwarded),
        "{forwarded} units of a store of 6"
    );
    assert_eq!(answers(&run.records).len(), 40);
}

#[test]
fn reset_attempt_is_retried_and_deduplicated() {
    let mut scenario = scenario(3, vec![step(&[0], request(1, BED_HOLD, LimiterIndex(0)))]);
    scenario.attempt_outcomes = vec![AttemptOutcome::Normal, AttemptOutcome::ResetAfterExecution];
    let run = simulate(&scenario, &mut ChoicePath::new(vec![1, 0]));
    assert_eq!(answers(&run.records), [Answer::Served]);
    let deduplicated = count(&run.records, |fact| {
        matches!(
            fact,
            Fact::Executed {
                deduplicated: true,
                ..
            }
        )
    });
    assert_eq!(deduplicated, 1);
    assert_eq!(violations(&scenario, &run.records), []);
}

/// Returns the records of a run with one request, whose host is subject to an event while it executes the request.
fn run_with_event_at_host(event: ScenarioEvent) -> Vec<Record> {
    let steps = vec![
        step(&[0], request(1, BED_CHECK, LimiterIndex(0))),
        step(&[50 * MILLISECOND], event),
    ];
    simulate(&scenario(1, steps), &mut FirstOption).records
}

fn attempts_with_outcome(records: &[Record], expected: Outcome) -> usize {
    count(
        records,
        |fact| matches!(fact, Fact::AttemptEnded { outcome, .. } if *outcome == expected),
    )
}

#[test]
fn dead_host_resets_its_attempts() {
    let records = run_with_event_at_host(ScenarioEvent::KillHost(HostIndex(0)));
    assert_eq!(attempts_with_outcome(&records, Outcome::Reset), 1);
}

#[test]
fn request_to_an_unreachable_host_is_still_answered() {
    let records = run_with_event_at_host(ScenarioEvent::IsolateHost(HostIndex(0)));
    assert!(!answers(&records).is_empty());
    assert_eq!(attempts_with_outcome(&records, Outcome::Good), 0);
}

#[test]
fn clients_retry_once_through_the_next_limiter() {
    let steps = vec![
        step(&[0], ScenarioEvent::KillHost(HostIndex(0))),
        step(&[10 * MILLISECOND], request(1, BED_CHECK, LimiterIndex(2))),
    ];
    let mut scenario = scenario(1, steps);
    scenario.retry = Some(RetryPolicy {
        delay: 100 * MILLISECOND,
        next_limiter: true,
    });
    let run = simulate(&scenario, &mut FirstOption);
    let limiters: Vec<_> = run
        .records
        .iter()
        .filter_map(|record| match record.fact {
            Fact::RequestReceived {
                limiter,
                operation: 1,
                ..
            } => Some(limiter),
            _ => None,
        })
        .collect();
    assert_eq!(limiters, [LimiterIndex(2), LimiterIndex(0)]);
}

#[test]
fn killed_limiter_drops_its_requests_and_serves_again_after_a_restart() {
    let steps = vec![
        step(&[0], request(1, BED_CHECK, LimiterIndex(0))),
        step(
            &[20 * MILLISECOND],
            ScenarioEvent::KillLimiter(LimiterIndex(0)),
        ),
        step(&[30 * MILLISECOND], request(2, BED_CHECK, LimiterIndex(0))),
        step(&[SECOND], ScenarioEvent::StartLimiter(LimiterIndex(0))),
        step(&[2 * SECOND], request(3, BED_CHECK, LimiterIndex(0))),
    ];
    let scenario = scenario(2, steps);
    let run = simulate(&scenario, &mut FirstOption);
    assert_eq!(answers(&run.records), [Answer::Served]);
    assert_eq!(violations(&scenario, &run.records), []);
}

/// An oracle that chooses at random, from a seed.
struct RandomOracle(u64);

impl Oracle for RandomOracle {
    fn choose(&mut self, _: ChoicePoint, options: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        Some((self.0 >> 33) as usize % options)
    }
}

/// Returns a scenario in which attempts, counter calls, hosts and discovery are subject to every kind of fault.
fn scenario_with_faults() -> Scenario {
    let mut steps = mixed_requests(12, 40 * MILLISECOND);
    steps.extend([
        step(
            &[0, 100 * MILLISECOND, 200 * MILLISECOND],
            ScenarioEvent::DrainHost(HostIndex(0)),
        ),
        step(
            &[50 * MILLISECOND, 150 * MILLISECOND],
            ScenarioEvent::KillHost(HostIndex(1)),
        ),
        step(
            &[120 * MILLISECOND],
            ScenarioEvent::SetCounterMode(CounterMode::Silent),
        ),
        step(&[300 * MILLISECOND], ScenarioEvent::ClearCounter),
        step(
            &[300 * MILLISECOND],
            ScenarioEvent::SetCounterMode(CounterMode::Normal),
        ),
    ]);
    let mut scenario = scenario(5, steps);
    scenario.discovery_delays = vec![0, 300 * MILLISECOND, 3 * SECOND];
    scenario.attempt_outcomes = vec![
        AttemptOutcome::Normal,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectionRefused,
        AttemptOutcome::ResetAfterExecution,
        AttemptOutcome::ResetBeforeExecution,
        AttemptOutcome::AnswerLost,
        AttemptOutcome::RequestLost,
        AttemptOutcome::Late,
    ];
    scenario.counter.call_outcomes = vec![
        CounterCallOutcome::Normal,
        CounterCallOutcome::RequestLost,
        CounterCallOutcome::AnswerLost,
        CounterCallOutcome::Rejected,
    ];
    scenario
}

/// Guards against faults that violate an invariant only in combination: 300 runs, each with its own seed, combine
/// faults of attempts, counter calls, hosts and discovery at random.
#[test]
fn invariants_hold_in_random_runs() {
    let scenario = scenario_with_faults();
    for seed in 0..300_u64 {
        let run = simulate(&scenario, &mut RandomOracle(seed));
        assert_eq!(violations(&scenario, &run.records), [], "seed {seed}");
        assert_eq!(answers(&run.records).len(), 12, "seed {seed}");
    }
}
