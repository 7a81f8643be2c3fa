//! Two builds of the limiter before the same stand-ins and the same load, in turn: A B, B A, A B.

use crate::spread;
use clap::Args;
use quartzcleat_config::Deployment;
use quartzcleat_decision::api::{HostState, Settings};
use quartzcleat_fakes::stage::{perform, Usage};
use quartzcleat_invariants::{Answer, Fact, Process, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, ClientRequest, CounterSetup, HostSetup, LimiterSet, NetworkDelays, Scenario,
    ScenarioEvent, Step,
};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// CPU a request, memory and start of two builds of the limiter, in pairs.
#[derive(Debug, Args)]
pub struct Pair {
    /// One build's program.
    a: PathBuf,
    /// The other's.
    b: PathBuf,
    /// Pairs of runs.
    #[arg(long, default_value_t = 5)]
    pairs: usize,
    /// Requests a second.
    #[arg(long, default_value_t = 500)]
    rate: u64,
    /// Seconds of load in each run.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
}

const MS: u64 = 1_000_000;

/// One limiter, four quick nodes, partners within their quotas.
fn scenario(settings: &Settings, rate: u64, seconds: u64) -> Scenario {
    let mut settings = settings.clone();
    settings.plans[2].rate = 100_000.0;
    settings.plans[2].burst = 100_000.0;
    settings.plans[2].open = 0;
    let process = |name: String| Process {
        name,
        zone: 0,
        cell: 0,
    };
    let processes = Processes {
        zones: vec!["room-a".into()],
        limiters: vec![process("limiter-a".into())],
        hosts: (0..4).map(|number| process(format!("n{number}"))).collect(),
        partners: (0..16).map(|number| format!("partner-{number}")).collect(),
        classes: settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
    };
    let ask = |number: u64| ClientRequest {
        operation: number + 1,
        class: (number % 2) as usize,
        partner: (number % 16) as usize,
        plan: 2,
        units: 1.0,
        true_units: 0.0,
        limiter: 0,
        limiter_set: LimiterSet { count: 1, first: 0 },
        timeout: 2_000 * MS,
        retry: false,
    };
    let step = |number: u64| {
        let moments = vec![number * 1_000 * MS / rate];
        Step {
            moments,
            event: ScenarioEvent::Request(ask(number)),
            reorder_group: None,
        }
    };
    Scenario {
        ground_truth: settings.clone(),
        processes,
        hosts: vec![
            HostSetup {
                cores: 64,
                state: HostState::Ready,
                ..HostSetup::default()
            };
            4
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
        work: vec![4 * MS, 4 * MS],
        log_deviation: 0.0,
        steps: (0..rate * seconds).map(step).collect(),
        retry: None,
        max_duration: (seconds + 3) * 1_000 * MS,
        variant: Some(0),
        settings,
    }
}

struct Run {
    cpu_us: f64,
    peak_kb: f64,
    start_ms: f64,
    served: usize,
}

fn one(scenario: &Scenario, program: &Path, folder: &Path) -> Result<Run, String> {
    let performed = perform(scenario, program, folder).map_err(|e| e.to_string())?;
    let served = |what: &Fact| {
        matches!(
            what,
            Fact::Answered {
                answer: Answer::Served,
                ..
            }
        )
    };
    let served = performed
        .records
        .iter()
        .filter(|record| served(&record.fact))
        .count();
    let Usage { cpu_ns, peak_kb } = performed.usage.first().copied().unwrap_or_default();
    let began = Instant::now();
    let started = std::process::Command::new(program)
        .env_remove("BALANCER_CONFIG")
        .output();
    started.map_err(|e| e.to_string())?;
    let start_ms = began.elapsed().as_secs_f64() * 1e3;
    Ok(Run {
        cpu_us: cpu_ns as f64 / 1e3 / served.max(1) as f64,
        peak_kb: peak_kb as f64,
        start_ms,
        served,
    })
}

impl Pair {
    /// Measures.
    pub fn run(self) -> Result<String, String> {
        let day = Deployment::read(
            "imlil-main.yaml",
            include_str!("../../../deploy/imlil-main.yaml"),
        );
        let day = day.map_err(|faults| faults.to_string())?;
        let scenario = scenario(&day.settings, self.rate.max(1), self.seconds.max(1));
        let folder = std::env::temp_dir().join(format!("quartzcleat-pair-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut runs: Vec<(Run, Run)> = Vec::new();
        for number in 0..self.pairs {
            let (a, b);
            if number % 2 == 0 {
                a = one(&scenario, &self.a, &folder)?;
                b = one(&scenario, &self.b, &folder)?;
            } else {
                b = one(&scenario, &self.b, &folder)?;
                a = one(&scenario, &self.a, &folder)?;
            }
            runs.push((a, b));
        }
        let _ = std::fs::remove_dir_all(&folder);
        let mut out = format!(
            "{} pairs, {} requests each, served {} to {}\n{:22} {:>30} {:>30} {:>24}\n",
            runs.len(),
            scenario.steps.len(),
            runs.iter()
                .map(|(a, b)| a.served.min(b.served))
                .min()
                .unwrap_or(0),
            runs.iter()
                .map(|(a, b)| a.served.max(b.served))
                .max()
                .unwrap_or(0),
            "least / median / most",
            "a",
            "b",
            "b / a, pair by pair"
        );
        type Figure = fn(&Run) -> f64;
        let figures: [(&str, Figure); 3] = [
            ("CPU a request, us", |run| run.cpu_us),
            ("peak memory, KB", |run| run.peak_kb),
            ("start and end, ms", |run| run.start_ms),
        ];
        for (name, figure) in figures {
            let show = |(least, median, most): (f64, f64, f64)| {
                format!("{least:.2} / {median:.2} / {most:.2}")
            };
            let _ = writeln!(
                out,
                "{name:22} {:>30} {:>30} {:>24}",
                show(spread(runs.iter().map(|(a, _)| figure(a)).collect())),
                show(spread(runs.iter().map(|(_, b)| figure(b)).collect())),
                show(spread(
                    runs.iter().map(|(a, b)| figure(b) / figure(a)).collect()
                ))
            );
        }
        Ok(out)
    }
}
