//! Generates a whole deployment from a seed, over ranges far wider than those of the known deployments. The order of random
//! values is part of what a seed means: figures in the docs name seeds.

mod clients;
mod incident;
mod random;
mod settings;
#[cfg(test)]
mod tests;

use clients::{client_load, ClientLoad};
use incident::ScheduledIncident;
use quartzcleat_decision::api::{CellId, Nanos, Settings, ZoneId};
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterCallOutcome, CounterMode, CounterSetup, HostSetup, NetworkDelays,
    RetryPolicy, Scenario, ScenarioEvent, Step,
};
use random::Random;

pub(super) use incident::Incident;

const NANOS_PER_MS: Nanos = 1_000_000;
/// How long clients send requests, in seconds.
const LOAD_SECONDS: f64 = 20.0;
/// How long a simulation goes on after that, in seconds.
const SETTLING_SECONDS: f64 = 30.0;
/// Any time of the wall clock at which a simulation may start.
const START: Nanos = 1_000_000_000_000_000_000;
const HOSTS_PER_CELL: u32 = 4;

/// A generated deployment.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    /// The scenario.
    pub scenario: Scenario,
    /// Sizes and the incident, for the report.
    pub description: String,
    /// The incident of the run.
    pub incident: Incident,
}

/// The sizes of a deployment.
struct Sizes {
    zones: u32,
    limiters: u32,
    hosts: u32,
    cores_per_host: u32,
}

impl Sizes {
    fn generate(random: &mut Random) -> Self {
        Sizes {
            zones: random.count(1, 4),
            limiters: random.count(1, 12),
            hosts: random.count(3, 40),
            cores_per_host: random.count(1, 8),
        }
    }

    fn processes(&self, settings: &Settings, customers: usize) -> Processes {
        let process = |prefix: &str, number: u32| Process {
            name: format!("{prefix}{number}"),
            zone: ZoneId(number % self.zones),
            cell: CellId(number / HOSTS_PER_CELL),
        };
        let classes = settings.classes.iter().map(|class| class.name.clone());
        Processes {
            zones: (0..self.zones).map(|zone| format!("room-{zone}")).collect(),
            limiters: (0..self.limiters)
                .map(|number| process("limiter-", number))
                .collect(),
            hosts: (0..self.hosts).map(|number| process("n", number)).collect(),
            partners: (0..customers).map(|number| format!("p{number}")).collect(),
            classes: classes.collect(),
        }
    }

    /// The deployment in one line.
    fn describe(
        &self,
        load: f64,
        classes: usize,
        settings: &Settings,
        clients: &ClientLoad,
        incident: &ScheduledIncident,
    ) -> String {
        format!(
            "{} limiters, {} hosts of {}, load {load}, {classes} classes, {} plans, {} partners, {}",
            self.limiters,
            self.hosts,
            self.cores_per_host,
            settings.plans.len(),
            clients.customers,
            incident.incident
        )
    }
}

/// Generates the deployment of a seed.
pub(super) fn generate(seed: u64) -> Deployment {
    let mut random = Random::from_seed(seed);
    let generated = settings::classes(&mut random);
    let work = generated.work;
    let plans = settings::plans(&mut random);
    let sizes = Sizes::generate(&mut random);
    let counter = counter(&mut random);
    let settings = settings::settings(&mut random, generated.classes, plans, sizes.limiters);
    let hosts = hosts(&mut random, &sizes);
    let network = network(&mut random);
    let load = random.choose(&[0.4, 0.55, 0.7, 0.9, 1.1]);
    let speeds = hosts.iter().map(|host| host.speed);
    let loaded_cores = load * f64::from(sizes.cores_per_host) * speeds.sum::<f64>();
    let clients = client_load(&mut random, &settings, &work, loaded_cores);
    let incident =
        ScheduledIncident::generate(&mut random, sizes.hosts as usize, sizes.limiters as usize);
    let description = sizes.describe(load, work.len(), &settings, &clients, &incident);
    let scenario = Scenario {
        ground_truth: settings.clone(),
        processes: sizes.processes(&settings, clients.customers),
        settings,
        hosts,
        network,
        start: START + nanos(random.uniform(0.0, 60.0)),
        start_offsets: vec![0],
        seeds: vec![seed],
        discovery_delays: vec![nanos(random.log_uniform(0.02, 3.0))],
        counter,
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work,
        log_deviation: random.uniform(0.3, 0.9),
        steps: steps(clients, &incident),
        retry: retry(&mut random),
        max_duration: nanos(LOAD_SECONDS + SETTLING_SECONDS),
        variant: None,
    };
    Deployment {
        scenario,
        description,
        incident: incident.incident,
    }
}

fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

fn step(at: Nanos, event: ScenarioEvent) -> Step {
    Step {
        moments: vec![at],
        event,
        reorder_group: None,
    }
}

fn counter(random: &mut Random) -> CounterSetup {
    CounterSetup {
        mode: CounterMode::Normal,
        call_outcomes: vec![CounterCallOutcome::Normal],
        call_duration: nanos(random.log_uniform(0.000_05, 0.002)),
        shards: random.count(1, 4),
    }
}

fn hosts(random: &mut Random, sizes: &Sizes) -> Vec<HostSetup> {
    (0..sizes.hosts)
        .map(|_| HostSetup {
            cores: sizes.cores_per_host,
            speed: random.log_uniform(0.6, 1.3),
            ..HostSetup::default()
        })
        .collect()
}

fn network(random: &mut Random) -> NetworkDelays {
    NetworkDelays {
        same_zone: nanos(random.log_uniform(0.000_1, 0.001)),
        cross_zone: nanos(random.log_uniform(0.000_4, 0.004)),
        counter: 500_000,
    }
}

fn retry(random: &mut Random) -> Option<RetryPolicy> {
    random.chance(0.7).then(|| RetryPolicy {
        delay: nanos(random.log_uniform(0.02, 0.5)),
        next_limiter: true,
    })
}

/// The requests, and the incident's events behind them.
fn steps(clients: ClientLoad, incident: &ScheduledIncident) -> Vec<Step> {
    let requests = clients.requests.into_iter();
    let mut steps: Vec<Step> = requests
        .map(|request| step(request.at, ScenarioEvent::Request(request.ask)))
        .collect();
    steps.extend(incident.steps());
    steps
}
