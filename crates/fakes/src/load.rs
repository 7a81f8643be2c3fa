//! Scenarios of steady load: limiters and hosts in one zone, and customers whose quotas reject nothing.

use quartzcleat_decision::api::{CellId, HostState, Nanos, PlanIndex, Settings, ZoneId};
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, ClientRequest, CounterSetup, HostSetup, NetworkDelays, Scenario, ScenarioEvent,
    Step,
};

/// The plan of all customers.
pub const PLAN: PlanIndex = PlanIndex(2);
/// Cores of a host: enough that no request waits for one.
const CORES_PER_HOST: u32 = 64;
/// The one-way delay between any two processes.
const NETWORK_DELAY: Nanos = 100_000;
/// The time in which the counter executes a call.
const COUNTER_SERVICE_TIME: Nanos = 20_000;
/// Rate and burst of the plan, in units: more than a load of any test.
const UNLIMITED_UNITS: f64 = 100_000.0;

/// The processes of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadTopology {
    /// Limiters.
    pub limiters: usize,
    /// Hosts.
    pub hosts: usize,
    /// Customers.
    pub customers: usize,
    /// The execution time of a request of any class.
    pub work: Nanos,
}

/// A scenario of a load with its steps, which ends at `end` at the latest.
///
/// # Panics
/// Panics where the settings have no plan [`PLAN`].
#[must_use]
pub fn load_scenario(
    settings: &Settings,
    topology: LoadTopology,
    steps: Vec<Step>,
    end: Nanos,
) -> Scenario {
    let settings = with_unlimited_plan(settings);
    let host = HostSetup {
        cores: CORES_PER_HOST,
        state: HostState::Ready,
        ..HostSetup::default()
    };
    Scenario {
        ground_truth: settings.clone(),
        processes: processes(&settings, topology),
        hosts: vec![host; topology.hosts],
        network: NetworkDelays {
            same_zone: NETWORK_DELAY,
            cross_zone: NETWORK_DELAY,
            counter: NETWORK_DELAY,
        },
        start: 0,
        start_offsets: vec![0],
        seeds: vec![1],
        discovery_delays: vec![0],
        counter: CounterSetup {
            call_duration: COUNTER_SERVICE_TIME,
            ..CounterSetup::default()
        },
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work: vec![topology.work; 2],
        log_deviation: 0.0,
        steps,
        retry: None,
        max_duration: end,
        variant: Some(0),
        settings,
    }
}

/// A step that sends a request at a time.
#[must_use]
pub fn request_step(at: Nanos, request: ClientRequest) -> Step {
    Step {
        moments: vec![at],
        event: ScenarioEvent::Request(request),
        reorder_group: None,
    }
}

fn with_unlimited_plan(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    let plan = &mut settings.plans[PLAN.as_usize()];
    plan.rate = UNLIMITED_UNITS;
    plan.burst = UNLIMITED_UNITS;
    plan.max_concurrent_attempts = 0;
    settings
}

fn processes(settings: &Settings, topology: LoadTopology) -> Processes {
    let process = |name: String| Process {
        name,
        zone: ZoneId(0),
        cell: CellId(0),
    };
    let limiter = |index: usize| process(format!("l{index}"));
    let host = |index: usize| process(format!("n{index}"));
    let classes = settings.classes.iter().map(|class| class.name.clone());
    Processes {
        zones: vec!["room-a".into()],
        limiters: (0..topology.limiters).map(limiter).collect(),
        hosts: (0..topology.hosts).map(host).collect(),
        partners: (0..topology.customers)
            .map(|index| format!("partner-{index}"))
            .collect(),
        classes: classes.collect(),
    }
}
