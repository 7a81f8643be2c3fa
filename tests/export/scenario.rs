//! The scenario: limiters are killed and restarted while requests arrive.

use quartzcleat_config::Deployment;
use quartzcleat_decision::api::{ClassIndex, LimiterIndex, Settings};
use quartzcleat_fakes::load::{load_scenario, request_step, LoadTopology, PLAN};
use quartzcleat_invariants::PartnerIndex;
use quartzcleat_simulation::scenario::{ClientRequest, LimiterSet, Scenario, ScenarioEvent, Step};

const NANOS_PER_MS: u64 = 1_000_000;
const REQUESTS: u64 = 500;
const REQUEST_INTERVAL_MS: u64 = 10;
const CUSTOMERS: usize = 5;
pub(crate) const LIMITERS: usize = 3;
const HOSTS: usize = 3;
const WORK_MS: u64 = 15;
const CLIENT_TIMEOUT_MS: u64 = 1_500;
/// Times at which each limiter is killed and restarted.
const RESTARTS_MS: [u64; LIMITERS] = [2_000, 2_400, 2_800];
/// Time of the last request. The pause before it is long enough to export all records.
const LAST_REQUEST_MS: u64 = 7_500;
const END_MS: u64 = 9_000;

/// Returns the settings of the deployment `imlil-main`.
fn settings() -> Settings {
    let deployment = Deployment::read(
        "imlil-main.yaml",
        include_str!("../../deploy/imlil-main.yaml"),
    )
    .expect("the deployment is valid");
    deployment.settings
}

/// Returns the scenario: five customers send requests for five seconds, and each limiter is killed and restarted once.
pub(crate) fn scenario() -> Scenario {
    let topology = LoadTopology {
        limiters: LIMITERS,
        hosts: HOSTS,
        customers: CUSTOMERS,
        work: WORK_MS * NANOS_PER_MS,
    };
    load_scenario(&settings(), topology, steps(), END_MS * NANOS_PER_MS)
}

fn request(number: u64) -> ClientRequest {
    ClientRequest {
        operation: number + 1,
        class: ClassIndex((number % 2) as u32),
        partner: PartnerIndex(number as usize % CUSTOMERS),
        plan: PLAN,
        units: [1.0, 2.0, 0.5][number as usize % 3],
        true_units: 0.0,
        limiter: LimiterIndex::from_usize(number as usize % LIMITERS),
        limiter_set: LimiterSet {
            count: 3,
            first: LimiterIndex(0),
        },
        timeout: CLIENT_TIMEOUT_MS * NANOS_PER_MS,
        retry: false,
    }
}

fn restart_step(at_ms: u64, event: ScenarioEvent) -> Step {
    Step {
        moments: vec![at_ms * NANOS_PER_MS],
        event,
        reorder_group: None,
    }
}

fn steps() -> Vec<Step> {
    let request_at = |at_ms: u64, number| request_step(at_ms * NANOS_PER_MS, request(number));
    let mut steps: Vec<Step> = (0..REQUESTS)
        .map(|number| request_at(number * REQUEST_INTERVAL_MS, number))
        .collect();
    for (limiter, at_ms) in RESTARTS_MS.into_iter().enumerate() {
        let limiter = LimiterIndex::from_usize(limiter);
        steps.push(restart_step(at_ms, ScenarioEvent::KillLimiter(limiter)));
        steps.push(restart_step(at_ms, ScenarioEvent::StartLimiter(limiter)));
    }
    steps.push(request_at(LAST_REQUEST_MS, REQUESTS));
    steps
}
