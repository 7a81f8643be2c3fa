//! The scenario: limiters are killed and started again while requests arrive.

use quartzcleat_config::Deployment;
use quartzcleat_decision::api::{HostState, Settings};
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, ClientRequest, CounterSetup, HostSetup, LimiterSet, NetworkDelays, Scenario,
    ScenarioEvent, Step,
};

const NANOS_PER_MS: u64 = 1_000_000;
const REQUESTS: u64 = 500;
const PARTNERS: usize = 5;
pub const LIMITERS: usize = 3;
const HOSTS: usize = 3;
const PLAN: u32 = 2;

/// The settings of a deployed day, with a plan that rejects nothing.
fn settings() -> Settings {
    let day = Deployment::read(
        "imlil-main.yaml",
        include_str!("../../deploy/imlil-main.yaml"),
    )
    .expect("the day is valid");
    let mut settings = day.settings;
    let plan = &mut settings.plans[PLAN as usize];
    plan.rate = 100_000.0;
    plan.burst = 100_000.0;
    plan.max_concurrent_attempts = 0;
    settings
}

/// Five partners send requests for five seconds; each limiter is killed once from outside, and started again.
pub fn scenario() -> Scenario {
    let settings = settings();
    let classes = settings
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    Scenario {
        ground_truth: settings.clone(),
        processes: processes(classes),
        hosts: vec![
            HostSetup {
                cores: 64,
                state: HostState::Ready,
                ..HostSetup::default()
            };
            HOSTS
        ],
        network: NetworkDelays {
            same_zone: 100_000,
            cross_zone: 100_000,
            counter: 100_000,
        },
        start: 0,
        start_offsets: vec![0],
        seeds: vec![1],
        discovery_delays: vec![0],
        counter: CounterSetup {
            call_duration: 20_000,
            ..CounterSetup::default()
        },
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work: vec![15 * NANOS_PER_MS, 15 * NANOS_PER_MS],
        log_deviation: 0.0,
        steps: steps(),
        retry: None,
        max_duration: 9_000 * NANOS_PER_MS,
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

fn request(number: u64) -> ClientRequest {
    ClientRequest {
        operation: number + 1,
        class: (number % 2) as usize,
        partner: number as usize % PARTNERS,
        plan: PLAN,
        units: [1.0, 2.0, 0.5][number as usize % 3],
        true_units: 0.0,
        limiter: number as usize % LIMITERS,
        limiter_set: LimiterSet { count: 3, first: 0 },
        timeout: 1_500 * NANOS_PER_MS,
        retry: false,
    }
}

fn step(at_ms: u64, what: ScenarioEvent) -> Step {
    Step {
        moments: vec![at_ms * NANOS_PER_MS],
        event: what,
        reorder_group: None,
    }
}

fn steps() -> Vec<Step> {
    let mut steps: Vec<Step> = (0..REQUESTS)
        .map(|number| step(number * 10, ScenarioEvent::Request(request(number))))
        .collect();
    for (limiter, at_ms) in [(0, 2_000), (1, 2_400), (2, 2_800)] {
        steps.push(step(at_ms, ScenarioEvent::KillLimiter(limiter)));
        steps.push(step(at_ms, ScenarioEvent::StartLimiter(limiter)));
    }
    // The pause before the last request is long enough to export what is left.
    steps.push(step(7_500, ScenarioEvent::Request(request(REQUESTS))));
    steps
}
