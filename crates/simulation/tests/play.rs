//! Plays of the world: what happens in them is what the scenario says, the same each time, within the rules.

use quartzcleat_decision::api::*;
use quartzcleat_invariants::{check, Answer, Fact, InvariantLimits, Process, Processes, Record};
use quartzcleat_simulation::oracle::{First, Path};
use quartzcleat_simulation::scenario::*;
use quartzcleat_simulation::{play, Oracle, Point};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn settings() -> Settings {
    let class = |name: &str, effect, latency_objective, deadline| Class {
        name: name.into(),
        effect,
        group: Group::All,
        dedup_window: 4 * S,
        latency_objective,
        deadline,
        priority_weight: 2.0,
        late_weight: 0.2,
        ..Class::default()
    };
    Settings {
        classes: vec![
            class("bed-check", Effect::Retryable, 2 * S, 7_500 * MS),
            class("bed-hold", Effect::Keyed, S, 4 * S),
        ],
        plans: vec![Plan {
            name: "guide".into(),
            rate: 1.6,
            burst: 8.0,
            weight_factor: 0.72,
            ..Plan::default()
        }],
        tick: 4 * MS,
        counter: true,
        counter_timeout: 30 * MS,
        largest_request: 6.0,
        may_cancel: true,
        retry_after: true,
        longest_retry_after: S,
        max_attempts: 4,
        max_open: 20_000,
        connect_timeout: 250 * MS,
        answer_grace: 16 * MS,
        drain_grace: S,
        slow_start_floor: 0.15,
        slow_start_duration: 18 * S,
        overload_factor: 3.0,
        overload_duration: 1_500 * MS,
        ..Settings::default()
    }
}

fn scenario(nodes: u32, steps: Vec<Step>) -> Scenario {
    let process = |name: String, zone| Process {
        name,
        zone,
        cell: 0,
    };
    let processes = Processes {
        zones: vec!["room-a".into(), "room-b".into(), "room-c".into()],
        limiters: (0..3).map(|n| process(format!("limiter-{n}"), n)).collect(),
        hosts: (0..nodes)
            .map(|n| process(format!("n{n}"), n % 3))
            .collect(),
        partners: vec!["X".into(), "Y".into()],
        classes: vec!["bed-check".into(), "bed-hold".into()],
    };
    Scenario {
        settings: settings(),
        truth: settings(),
        processes,
        nodes: vec![NodeSetup::default(); nodes as usize],
        net: Net::default(),
        start: 1_000_000 * S,
        phases: vec![0],
        seeds: vec![7],
        lags: vec![0],
        counter: CounterSetup::default(),
        fates: vec![Fate::Normal],
        work: vec![180 * MS, 110 * MS],
        spread: 0.0,
        steps,
        retry: None,
        end: 20 * S,
        variant: None,
    }
}

fn ask(mark: u64, class: usize, through: usize) -> Ask {
    let wait = if class == 0 { 7_500 * MS } else { 4 * S };
    Ask {
        mark,
        class,
        partner: 0,
        plan: 0,
        units: 1.0,
        cost: 0.0,
        through,
        spread: (3, 0),
        wait,
        retry: false,
    }
}

fn at(at: Nanos, what: Happening) -> Step {
    Step {
        at: vec![at],
        what,
        free: None,
    }
}

fn answers(records: &[Record]) -> Vec<Answer> {
    let answer = |record: &Record| match record.fact {
        Fact::Answered { answer, .. } => Some(answer),
        _ => None,
    };
    records.iter().filter_map(answer).collect()
}

fn count(records: &[Record], which: impl Fn(&Fact) -> bool) -> usize {
    records.iter().filter(|record| which(&record.fact)).count()
}

#[test]
fn a_calm_request_is_served_after_its_work_and_two_ways() {
    let played = play(
        &scenario(3, vec![at(0, Happening::Ask(ask(1, 1, 0)))]),
        &mut First,
    );
    assert!(played.whole);
    assert_eq!(answers(&played.records), [Answer::Served]);
    let ends: Vec<_> = played
        .records
        .iter()
        .filter(|r| matches!(r.fact, Fact::Answered { .. }))
        .collect();
    let elapsed = ends[0].at - 1_000_000 * S;
    // An add and a read at the counter, 110 ms of work and the ways there and back.
    assert!((110 * MS..118 * MS).contains(&elapsed), "{elapsed}");
}

#[test]
fn the_same_scenario_plays_the_same() {
    let mut one = scenario(
        4,
        (0..40)
            .map(|n| {
                at(
                    n * 20 * MS,
                    Happening::Ask(ask(n, (n % 2) as usize, (n % 3) as usize)),
                )
            })
            .collect(),
    );
    one.spread = 0.4;
    let (first, second) = (play(&one, &mut First), play(&one, &mut First));
    assert_eq!(first.records, second.records);
    one.seeds = vec![8];
    assert_ne!(
        play(&one, &mut First).records,
        first.records,
        "another seed, another play"
    );
}

#[test]
fn quotas_count_over_all_limiters() {
    // 40 units at once over three limiters, of a plan that holds 8 and refills 1.6 a second.
    let steps = (0..40)
        .map(|n| at(n * 5 * MS, Happening::Ask(ask(n, 1, (n % 3) as usize))))
        .collect();
    let played = play(&scenario(9, steps), &mut First);
    let sent = count(&played.records, |what| {
        matches!(what, Fact::AttemptSent { attempt: 0, .. })
    });
    // As a window begins the largest request, 6 units, is in store.
    assert!((6..=10).contains(&sent), "{sent} units of a store of 6");
    assert_eq!(answers(&played.records).len(), 40);
}

#[test]
fn a_lost_connection_is_tried_again_and_its_repeat_dropped() {
    let mut one = scenario(3, vec![at(0, Happening::Ask(ask(1, 1, 0)))]);
    one.fates = vec![Fate::Normal, Fate::ResetRan];
    let played = play(&one, &mut Path::new(vec![1, 0]));
    assert_eq!(answers(&played.records), [Answer::Served]);
    assert_eq!(
        count(&played.records, |what| matches!(
            what,
            Fact::Executed {
                deduplicated: true,
                ..
            }
        )),
        1
    );
    assert_eq!(
        check(
            &one.processes,
            &InvariantLimits::from_settings(&one.truth, 0),
            &played.records
        ),
        []
    );
}

#[test]
fn a_dead_host_resets_what_it_had_and_a_vanished_one_says_nothing() {
    let steps = |what| vec![at(0, Happening::Ask(ask(1, 0, 0))), at(50 * MS, what)];
    let one = scenario(1, steps(Happening::Die(0)));
    let played = play(&one, &mut First);
    assert!(
        count(&played.records, |what| matches!(
            what,
            Fact::AttemptEnded {
                outcome: Outcome::Reset,
                ..
            }
        )) == 1
    );
    let one = scenario(1, steps(Happening::Vanish(0)));
    let played = play(&one, &mut First);
    assert!(
        played
            .records
            .iter()
            .any(|r| matches!(r.fact, Fact::Answered { .. })),
        "answered all the same"
    );
    assert_eq!(
        count(&played.records, |what| matches!(
            what,
            Fact::AttemptEnded {
                outcome: Outcome::Good,
                ..
            }
        )),
        0
    );
}

#[test]
fn clients_retry_once_through_the_next_limiter() {
    let mut one = scenario(
        1,
        vec![
            at(0, Happening::Die(0)),
            at(10 * MS, Happening::Ask(ask(1, 0, 2))),
        ],
    );
    one.retry = Some(Retry {
        after: 100 * MS,
        elsewhere: true,
    });
    let played = play(&one, &mut First);
    let through: Vec<_> = played
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
    assert_eq!(through, [2, 0]);
}

#[test]
fn a_limiter_that_dies_owes_nothing_and_starts_again() {
    let steps = vec![
        at(0, Happening::Ask(ask(1, 0, 0))),
        at(20 * MS, Happening::LimiterDies(0)),
        at(30 * MS, Happening::Ask(ask(2, 0, 0))),
        at(S, Happening::LimiterStarts(0)),
        at(2 * S, Happening::Ask(ask(3, 0, 0))),
    ];
    let one = scenario(2, steps);
    let played = play(&one, &mut First);
    assert_eq!(answers(&played.records), [Answer::Served]);
    assert_eq!(
        check(
            &one.processes,
            &InvariantLimits::from_settings(&one.truth, 0),
            &played.records
        ),
        []
    );
}

/// Chooses by a seed.
struct Dice(u64);

impl Oracle for Dice {
    fn choose(&mut self, _: Point, options: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        Some((self.0 >> 33) as usize % options)
    }
}

/// The module keeps the rules whatever attempts, calls, hosts and discovery do; 300 plays of one seed each.
#[test]
fn rules_hold_in_random_plays() {
    for seed in 0..300_u64 {
        let mut steps: Vec<_> = (0..12)
            .map(|n| {
                at(
                    n * 40 * MS,
                    Happening::Ask(ask(n, (n % 2) as usize, (n % 3) as usize)),
                )
            })
            .collect();
        steps.push(Step {
            at: vec![0, 100 * MS, 200 * MS],
            what: Happening::Drain(0),
            free: None,
        });
        steps.push(Step {
            at: vec![50 * MS, 150 * MS],
            what: Happening::Die(1),
            free: None,
        });
        steps.push(at(120 * MS, Happening::Counter(CounterMode::Silent)));
        steps.push(at(300 * MS, Happening::Empty));
        steps.push(at(300 * MS, Happening::Counter(CounterMode::Normal)));
        let mut one = scenario(5, steps);
        one.lags = vec![0, 300 * MS, 3 * S];
        one.fates = vec![
            Fate::Normal,
            Fate::Error,
            Fate::Busy,
            Fate::Refused,
            Fate::ResetRan,
            Fate::ResetLost,
            Fate::SilentRan,
            Fate::SilentLost,
            Fate::Late,
        ];
        one.counter.fates = vec![
            CallFate::Normal,
            CallFate::Lost,
            CallFate::AnswerLost,
            CallFate::Refused,
        ];
        let played = play(&one, &mut Dice(seed));
        assert_eq!(
            check(
                &one.processes,
                &InvariantLimits::from_settings(&one.truth, 0),
                &played.records
            ),
            [],
            "seed {seed}"
        );
        assert_eq!(answers(&played.records).len(), 12, "seed {seed}");
    }
}
