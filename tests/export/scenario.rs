//! The scenario: limiters are killed and started again while requests arrive.

use quartzcleat_config::Day;
use quartzcleat_decision::api::HostState;
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{
    Ask, CounterSetup, Fate, Happening, Net, NodeSetup, Scenario, Step,
};

const NANOS_PER_MS: u64 = 1_000_000;
const REQUESTS: u64 = 500;
const PARTNERS: usize = 5;
pub const LIMITERS: usize = 3;
const HOSTS: usize = 3;
const PLAN: u32 = 2;

/// Five partners send requests for five seconds; each limiter is killed once from outside, and started again.
pub fn scenario() -> Scenario {
    let day = Day::read(
        "imlil-main.yaml",
        include_str!("../../deploy/imlil-main.yaml"),
    )
    .expect("the day is valid");
    let mut settings = day.settings;
    settings.plans[PLAN as usize].rate = 100_000.0;
    settings.plans[PLAN as usize].burst = 100_000.0;
    settings.plans[PLAN as usize].open = 0;
    let classes = settings
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    Scenario {
        truth: settings.clone(),
        processes: processes(classes),
        nodes: vec![
            NodeSetup {
                cores: 64,
                state: HostState::Ready,
                ..NodeSetup::default()
            };
            HOSTS
        ],
        net: Net {
            same: 100_000,
            cross: 100_000,
            counter: 100_000,
        },
        start: 0,
        phases: vec![0],
        seeds: vec![1],
        lags: vec![0],
        counter: CounterSetup {
            service: 20_000,
            ..CounterSetup::default()
        },
        fates: vec![Fate::Normal],
        work: vec![15 * NANOS_PER_MS, 15 * NANOS_PER_MS],
        spread: 0.0,
        steps: steps(),
        retry: None,
        end: 9_000 * NANOS_PER_MS,
        variant: Some(0),
        settings,
    }
}

fn processes(classes: Vec<String>) -> Processes {
    let process = |name: String| Process {
        name,
        zone: 0,
        cell: 0,
    };
    Processes {
        zones: vec!["room-a".into()],
        limiters: (0..LIMITERS)
            .map(|number| process(format!("l{number}")))
            .collect(),
        hosts: (0..HOSTS)
            .map(|number| process(format!("n{number}")))
            .collect(),
        partners: (0..PARTNERS)
            .map(|number| format!("partner-{number}"))
            .collect(),
        classes,
    }
}

fn request(number: u64) -> Ask {
    Ask {
        mark: number + 1,
        class: (number % 2) as usize,
        partner: number as usize % PARTNERS,
        plan: PLAN,
        units: [1.0, 2.0, 0.5][number as usize % 3],
        cost: 0.0,
        through: number as usize % LIMITERS,
        spread: (3, 0),
        wait: 1_500 * NANOS_PER_MS,
        retry: false,
    }
}

fn step(at_ms: u64, what: Happening) -> Step {
    Step {
        at: vec![at_ms * NANOS_PER_MS],
        what,
        free: None,
    }
}

fn steps() -> Vec<Step> {
    let mut steps: Vec<Step> = (0..REQUESTS)
        .map(|number| step(number * 10, Happening::Ask(request(number))))
        .collect();
    for (limiter, at_ms) in [(0, 2_000), (1, 2_400), (2, 2_800)] {
        steps.push(step(at_ms, Happening::LimiterDies(limiter)));
        steps.push(step(at_ms, Happening::LimiterStarts(limiter)));
    }
    // The pause before the last request is long enough to export what is left.
    steps.push(step(7_500, Happening::Ask(request(REQUESTS))));
    steps
}
