//! Runs of the simulation: what happens in them is what the scenario says, the same each time, within the invariants.

use quartzcleat_decision::api::*;
use quartzcleat_invariants::{
    check, Answer, Fact, InvariantLimits, Process, Processes, Record, Violation,
};
use quartzcleat_simulation::oracle::{ChoicePath, FirstOption};
use quartzcleat_simulation::scenario::*;
use quartzcleat_simulation::{simulate, ChoicePoint, Oracle};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const START: Nanos = 1_000_000 * S;

fn settings() -> Settings {
    let class = |name: &str, effect, latency_objective, deadline| Class {
        name: name.into(),
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: 4 * S,
        latency_objective,
        deadline,
        priority_weight: 2.0,
        late_weight: 0.2,
        ..Class::default()
    };
    Settings {
        classes: vec![
            class("bed-check", Effect::Idempotent, 2 * S, 7_500 * MS),
            class("bed-hold", Effect::IdempotentWithKey, S, 4 * S),
        ],
        plans: vec![Plan {
            name: "guide".into(),
            rate: 1.6,
            burst: 8.0,
            weight_factor: 0.72,
            ..Plan::default()
        }],
        limiters: LimiterSettings {
            tick: 4 * MS,
            ..LimiterSettings::default()
        },
        counter: CounterSettings {
            is_available: true,
            timeout: 30 * MS,
            ..CounterSettings::default()
        },
        units: UnitSettings {
            largest_request: 6.0,
            ..UnitSettings::default()
        },
        capabilities: Capabilities {
            cancel: true,
            ..Capabilities::default()
        },
        backoff: BackoffSettings {
            sends_retry_after: true,
            longest_retry_after: S,
        },
        attempts: AttemptSettings {
            max_per_request: 4,
            max_requests_in_progress: 20_000,
            connect_timeout: 250 * MS,
        },
        grace: GraceSettings {
            answer: 16 * MS,
            drain: S,
        },
        slow_start: SlowStartSettings {
            initial_capacity: 0.15,
            duration: 18 * S,
            overload_factor: 3.0,
            overload_duration: 1_500 * MS,
        },
        ..Settings::default()
    }
}

fn scenario(hosts: u32, steps: Vec<Step>) -> Scenario {
    let process = |name: String, zone| Process {
        name,
        zone,
        cell: 0,
    };
    let processes = Processes {
        zones: vec!["room-a".into(), "room-b".into(), "room-c".into()],
        limiters: (0..3)
            .map(|index| process(format!("limiter-{index}"), index))
            .collect(),
        hosts: (0..hosts)
            .map(|index| process(format!("n{index}"), index % 3))
            .collect(),
        partners: vec!["X".into(), "Y".into()],
        classes: vec!["bed-check".into(), "bed-hold".into()],
    };
    Scenario {
        settings: settings(),
        ground_truth: settings(),
        processes,
        hosts: vec![HostSetup::default(); hosts as usize],
        network: NetworkDelays::default(),
        start: START,
        start_offsets: vec![0],
        seeds: vec![7],
        discovery_delays: vec![0],
        counter: CounterSetup::default(),
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work: vec![180 * MS, 110 * MS],
        log_deviation: 0.0,
        steps,
        retry: None,
        max_duration: 20 * S,
        variant: None,
    }
}

fn request(operation: u64, class: usize, limiter: usize) -> ScenarioEvent {
    let timeout = if class == 0 { 7_500 * MS } else { 4 * S };
    ScenarioEvent::Request(ClientRequest {
        operation,
        class,
        partner: 0,
        plan: 0,
        units: 1.0,
        true_units: 0.0,
        limiter,
        limiter_set: LimiterSet { count: 3, first: 0 },
        timeout,
        retry: false,
    })
}

fn step(moments: &[Nanos], event: ScenarioEvent) -> Step {
    Step {
        moments: moments.to_vec(),
        event,
        reorder_group: None,
    }
}

/// Requests of alternating classes through all limiters in turn.
fn mixed_requests(count: u64, interval: Nanos) -> Vec<Step> {
    (0..count)
        .map(|number| {
            let class = (number % 2) as usize;
            let limiter = (number % 3) as usize;
            step(&[number * interval], request(number, class, limiter))
        })
        .collect()
}

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
    let scenario = scenario(3, vec![step(&[0], request(1, 1, 0))]);
    let run = simulate(&scenario, &mut FirstOption);
    assert!(run.is_complete);
    assert_eq!(answers(&run.records), [Answer::Served]);
    let answered = run
        .records
        .iter()
        .find(|record| matches!(record.fact, Fact::Answered { .. }))
        .expect("the request is answered");
    let elapsed = answered.at - START;
    // An addition and a read at the counter, 110 ms of work and the delays to the host and back.
    assert!((110 * MS..118 * MS).contains(&elapsed), "{elapsed}");
}

#[test]
fn same_scenario_gives_the_same_records() {
    let mut scenario = scenario(4, mixed_requests(40, 20 * MS));
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
fn quotas_count_over_all_limiters() {
    // 40 units at once over three limiters, of a plan that holds 8 and refills 1.6 a second.
    let steps = (0..40)
        .map(|number| {
            step(
                &[number * 5 * MS],
                request(number, 1, (number % 3) as usize),
            )
        })
        .collect();
    let run = simulate(&scenario(9, steps), &mut FirstOption);
    let forwarded = count(&run.records, |fact| {
        matches!(fact, Fact::AttemptSent { attempt: 0, .. })
    });
    // As a window begins the largest request, 6 units, is in store.
    assert!(
        (6..=10).contains(&forwarded),
        "{forwarded} units of a store of 6"
    );
    assert_eq!(answers(&run.records).len(), 40);
}

#[test]
fn reset_attempt_is_retried_and_its_repeat_deduplicated() {
    let mut scenario = scenario(3, vec![step(&[0], request(1, 1, 0))]);
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

#[test]
fn dead_host_resets_its_attempts_and_unreachable_host_sends_nothing() {
    let run = |event| {
        let steps = vec![step(&[0], request(1, 0, 0)), step(&[50 * MS], event)];
        simulate(&scenario(1, steps), &mut FirstOption)
    };
    let ended = |records: &[Record], expected: Outcome| {
        count(
            records,
            |fact| matches!(fact, Fact::AttemptEnded { outcome, .. } if *outcome == expected),
        )
    };
    let dead = run(ScenarioEvent::KillHost(0));
    assert_eq!(ended(&dead.records, Outcome::Reset), 1);
    let unreachable = run(ScenarioEvent::IsolateHost(0));
    assert!(
        !answers(&unreachable.records).is_empty(),
        "answered all the same"
    );
    assert_eq!(ended(&unreachable.records, Outcome::Good), 0);
}

#[test]
fn clients_retry_once_through_the_next_limiter() {
    let steps = vec![
        step(&[0], ScenarioEvent::KillHost(0)),
        step(&[10 * MS], request(1, 0, 2)),
    ];
    let mut scenario = scenario(1, steps);
    scenario.retry = Some(RetryPolicy {
        delay: 100 * MS,
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
    assert_eq!(limiters, [2, 0]);
}

#[test]
fn limiter_that_dies_has_no_pending_responses_and_starts_again() {
    let steps = vec![
        step(&[0], request(1, 0, 0)),
        step(&[20 * MS], ScenarioEvent::KillLimiter(0)),
        step(&[30 * MS], request(2, 0, 0)),
        step(&[S], ScenarioEvent::StartLimiter(0)),
        step(&[2 * S], request(3, 0, 0)),
    ];
    let scenario = scenario(2, steps);
    let run = simulate(&scenario, &mut FirstOption);
    assert_eq!(answers(&run.records), [Answer::Served]);
    assert_eq!(violations(&scenario, &run.records), []);
}

/// Chooses at random, from a seed.
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

/// A scenario in which attempts, counter calls, hosts and discovery may fail in every way.
fn scenario_with_faults() -> Scenario {
    let mut steps = mixed_requests(12, 40 * MS);
    steps.extend([
        step(&[0, 100 * MS, 200 * MS], ScenarioEvent::DrainHost(0)),
        step(&[50 * MS, 150 * MS], ScenarioEvent::KillHost(1)),
        step(
            &[120 * MS],
            ScenarioEvent::SetCounterMode(CounterMode::Silent),
        ),
        step(&[300 * MS], ScenarioEvent::ClearCounter),
        step(
            &[300 * MS],
            ScenarioEvent::SetCounterMode(CounterMode::Normal),
        ),
    ]);
    let mut scenario = scenario(5, steps);
    scenario.discovery_delays = vec![0, 300 * MS, 3 * S];
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

/// The decision engine keeps the invariants whatever attempts, calls, hosts and discovery do; 300 runs of one seed
/// each.
#[test]
fn invariants_hold_in_random_runs() {
    let scenario = scenario_with_faults();
    for seed in 0..300_u64 {
        let run = simulate(&scenario, &mut RandomOracle(seed));
        assert_eq!(violations(&scenario, &run.records), [], "seed {seed}");
        assert_eq!(answers(&run.records).len(), 12, "seed {seed}");
    }
}
