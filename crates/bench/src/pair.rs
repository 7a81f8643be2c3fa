//! Two builds of the limiter with the same fakes and the same load, in turn: A B, B A, A B.

use crate::error::BenchError;
use crate::spread::Spread;
use clap::Args;
use quartzcleat_config::Deployment;
use quartzcleat_decision::api::{ClassIndex, LimiterIndex, Nanos, Settings};
use quartzcleat_fakes::load::{load_scenario, request_step, LoadTopology, PLAN};
use quartzcleat_fakes::{run_measured, Usage};
use quartzcleat_invariants::{Answer, Fact, PartnerIndex, Record};
use quartzcleat_simulation::scenario::{ClientRequest, LimiterSet, Scenario};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

const NANOS_PER_MS: Nanos = 1_000_000;
const NANOS_PER_SECOND: Nanos = 1_000 * NANOS_PER_MS;
const CUSTOMERS: u64 = 16;
const TOPOLOGY: LoadTopology = LoadTopology {
    limiters: 1,
    hosts: 4,
    customers: CUSTOMERS as usize,
    work: 4 * NANOS_PER_MS,
};
const CLIENT_DEADLINE: Nanos = 2_000 * NANOS_PER_MS;
/// How long a run waits for answers after the last request.
const ANSWER_TIME: Nanos = 3 * NANOS_PER_SECOND;

/// CPU a request, memory and start of two builds of the limiter, in pairs.
#[derive(Debug, Args)]
pub(crate) struct Pair {
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

/// The measurements of one run.
struct RunFigures {
    cpu_us_per_request: f64,
    peak_kb: f64,
    start_ms: f64,
    served: usize,
}

/// One run of each build.
struct PairFigures {
    a: RunFigures,
    b: RunFigures,
}

/// A row of the report.
struct Metric {
    name: &'static str,
    value: fn(&RunFigures) -> f64,
}

const METRICS: [Metric; 3] = [
    Metric {
        name: "CPU a request, us",
        value: |run| run.cpu_us_per_request,
    },
    Metric {
        name: "peak memory, KB",
        value: |run| run.peak_kb,
    },
    Metric {
        name: "start and end, ms",
        value: |run| run.start_ms,
    },
];

impl Pair {
    /// Measures all pairs; returns a table.
    ///
    /// # Errors
    /// Fails where files, loopback or the programs do.
    pub(crate) fn run(self) -> Result<String, BenchError> {
        let day = Deployment::read(
            "imlil-main.yaml",
            include_str!("../../../deploy/imlil-main.yaml"),
        )?;
        let scenario = scenario(&day.settings, self.rate.max(1), self.seconds.max(1));
        let folder = std::env::temp_dir().join(format!("quartzcleat-pair-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(BenchError::at(&folder))?;
        let mut pairs = Vec::new();
        for number in 0..self.pairs {
            pairs.push(self.measure_pair(number, &scenario, &folder)?);
        }
        // Files that stay behind do not concern the result.
        let _ = std::fs::remove_dir_all(&folder);
        Ok(report(&pairs, scenario.steps.len()))
    }

    /// Runs both builds, each of them first in every other pair.
    fn measure_pair(
        &self,
        number: usize,
        scenario: &Scenario,
        folder: &Path,
    ) -> Result<PairFigures, BenchError> {
        if number.is_multiple_of(2) {
            let a = measure(scenario, &self.a, folder)?;
            let b = measure(scenario, &self.b, folder)?;
            Ok(PairFigures { a, b })
        } else {
            let b = measure(scenario, &self.b, folder)?;
            let a = measure(scenario, &self.a, folder)?;
            Ok(PairFigures { a, b })
        }
    }
}

/// A steady load through one limiter on four fast hosts, by customers within their quotas.
fn scenario(settings: &Settings, rate: u64, seconds: u64) -> Scenario {
    let steps = (0..rate * seconds)
        .map(|number| request_step(number * NANOS_PER_SECOND / rate, request(number)))
        .collect();
    let end = seconds * NANOS_PER_SECOND + ANSWER_TIME;
    load_scenario(settings, TOPOLOGY, steps, end)
}

fn request(number: u64) -> ClientRequest {
    ClientRequest {
        operation: number + 1,
        class: ClassIndex((number % 2) as u32),
        partner: PartnerIndex((number % CUSTOMERS) as usize),
        plan: PLAN,
        units: 1.0,
        true_units: 0.0,
        limiter: LimiterIndex(0),
        limiter_set: LimiterSet {
            count: 1,
            first: LimiterIndex(0),
        },
        timeout: CLIENT_DEADLINE,
        retry: false,
    }
}

fn measure(scenario: &Scenario, program: &Path, folder: &Path) -> Result<RunFigures, BenchError> {
    let report = run_measured(scenario, program, folder).map_err(BenchError::Harness)?;
    let served = report.records.iter().filter(|record| is_served(record));
    let served = served.count();
    let Usage { cpu_ns, peak_kb } = report.usage.first().copied().unwrap_or_default();
    Ok(RunFigures {
        cpu_us_per_request: cpu_ns as f64 / 1e3 / served.max(1) as f64,
        peak_kb: peak_kb as f64,
        start_ms: start_ms(program)?,
        served,
    })
}

fn is_served(record: &Record) -> bool {
    matches!(
        record.fact,
        Fact::Answered {
            answer: Answer::Served,
            ..
        }
    )
}

/// How long the program takes to start, to find no configuration and to end.
fn start_ms(program: &Path) -> Result<f64, BenchError> {
    let start = Instant::now();
    Command::new(program)
        .env_remove("BALANCER_CONFIG")
        .output()
        .map_err(BenchError::Harness)?;
    Ok(start.elapsed().as_secs_f64() * 1e3)
}

fn report(pairs: &[PairFigures], requests: usize) -> String {
    let served = || pairs.iter().flat_map(|pair| [pair.a.served, pair.b.served]);
    let mut text = format!(
        "{} pairs, {requests} requests each, served {} to {}\n{:22} {:>30} {:>30} {:>24}\n",
        pairs.len(),
        served().min().unwrap_or(0),
        served().max().unwrap_or(0),
        "least / median / most",
        "a",
        "b",
        "b / a, pair by pair"
    );
    for Metric { name, value } in METRICS {
        let a = Spread::of(pairs.iter().map(|pair| value(&pair.a)).collect());
        let b = Spread::of(pairs.iter().map(|pair| value(&pair.b)).collect());
        let ratio = |pair: &PairFigures| value(&pair.b) / value(&pair.a);
        let ratio = Spread::of(pairs.iter().map(ratio).collect());
        let row = format!(
            "{name:22} {:>30} {:>30} {:>24}\n",
            a.to_string(),
            b.to_string(),
            ratio.to_string()
        );
        text += &row;
    }
    text
}
