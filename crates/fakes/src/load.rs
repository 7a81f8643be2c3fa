//! Scenarios of steady load: all limiters and hosts are in one zone, and the customers' quotas reject no request.

use quartzcleat_decision::api::{CellId, HostState, Nanos, PlanIndex, Settings, ZoneId};
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, ClientRequest, CounterSetup, HostSetup, NetworkDelays, Scenario, ScenarioEvent,
    Step,
};

/// The plan of all customers.
pub const PLAN: PlanIndex = PlanIndex(2);
/// The number of cores of a host, high enough that no request waits for one.
const CORES_PER_HOST: u32 = 64;
/// The one-way network delay between any two processes, in nanoseconds.
const NETWORK_DELAY: Nanos = 100_000;
/// The time that the counter takes to execute a call, in nanoseconds.
const COUNTER_SERVICE_TIME: Nanos = 20_000;
/// The plan's rate (units per second) and burst (units), higher than the load of any test.
const UNLIMITED_UNITS: f64 = 100_000.0;

/// The numbers of processes and customers of a load, and the work of a request.
#[derive(Clone, Copy, Debug)]
pub struct LoadTopology {
    /// The number of limiters.
    pub limiters: usize,
    /// The number of hosts.
    pub hosts: usize,
    /// The number of customers.
    pub customers: usize,
    /// The work of a request of any class: its execution time on a core of speed 1, in nanoseconds.
    pub work: Nanos,
}

/// Returns a scenario that applies `steps` and ends at `end` at the latest.
///
/// # Panics
/// Panics if `settings` has no plan with index [`PLAN`].
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

/// Returns a step that sends `request` at time `at`, in nanoseconds from the start of the run.
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
