//! Draws a whole deployment from a seed, over ranges far wider than those of the deployments that are known.

use quartzcleat_decision::api::{Class, Effect, Group, Nanos, Plan, Settings};
use quartzcleat_invariants::{Process, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, ClientRequest, CounterCallOutcome, CounterMode, CounterSetup, HostSetup,
    LimiterSet, NetworkDelays, RetryPolicy, Scenario, ScenarioEvent, Step,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

const MS: Nanos = 1_000_000;
/// Requests of clients come for so long, in seconds.
pub const LENGTH: f64 = 20.0;
/// Errands of one deployment, at most.
const ERRANDS: usize = 12_000;

/// A deployment and what it is in a few words.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// What is played.
    pub scenario: Scenario,
    /// Sizes and what goes wrong, for the table.
    pub words: String,
    /// What goes wrong.
    pub trouble: &'static str,
}

struct Dice(Pcg64Mcg);

impl Dice {
    fn from(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.random::<f64>()
    }

    /// Spread evenly over orders of magnitude.
    fn log(&mut self, low: f64, high: f64) -> f64 {
        self.from(low.ln(), high.ln()).exp()
    }

    fn count(&mut self, low: u32, high: u32) -> u32 {
        self.log(f64::from(low), f64::from(high) + 0.999) as u32
    }

    fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.0.random_range(0..of.len())]
    }

    fn chance(&mut self, part: f64) -> bool {
        self.0.random::<f64>() < part
    }
}

fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

fn classes(dice: &mut Dice) -> (Vec<Class>, Vec<Nanos>) {
    let mut work = Vec::new();
    let classes = (0..dice.count(1, 4)).map(|number| {
        let seconds = dice.log(0.004, 0.4);
        work.push(nanos(seconds));
        let latency_objective = nanos(seconds * dice.log(3.0, 30.0)).max(30 * MS);
        Class {
            name: format!("class-{number}"),
            effect: dice.one(&[Effect::Retryable, Effect::Keyed, Effect::Unsafe]),
            group: dice.one(&[Group::All, Group::Zone, Group::Cell]),
            dedup_window: nanos(dice.log(1.0, 20.0)),
            latency_objective,
            deadline: (latency_objective as f64 * dice.log(1.5, 6.0)) as Nanos,
            priority_weight: dice.log(0.5, 8.0),
            late_weight: dice.one(&[0.0, 0.2, 0.5]),
            ..Class::default()
        }
    });
    (classes.collect(), work)
}

fn plans(dice: &mut Dice) -> Vec<Plan> {
    let plan = |(number, dice): (u32, &mut Dice)| {
        let rate = dice.log(0.4, 60.0);
        Plan {
            name: format!("plan-{number}"),
            rate,
            burst: (rate * dice.log(0.6, 10.0)).max(2.0),
            weight_factor: dice.from(0.5, 2.0),
            over_quota_weight: dice.one(&[0.0, 0.0, 0.3]),
            over_quota_cost: dice.one(&[0.0, 0.6, 1.2]),
            ..Plan::default()
        }
    };
    (0..dice.count(1, 4))
        .map(|number| plan((number, dice)))
        .collect()
}

/// The deployment of a seed.
pub fn draw(seed: u64) -> Drawn {
    let mut dice = Dice(Pcg64Mcg::seed_from_u64(seed));
    let (classes, work) = classes(&mut dice);
    let plans = plans(&mut dice);
    let (zones, limiter_count, hosts) = (dice.count(1, 4), dice.count(1, 12), dice.count(3, 40));
    let cores = dice.count(1, 8);
    let process = |name: &str, number: u32| Process {
        name: format!("{name}{number}"),
        zone: number % zones,
        cell: number / 4,
    };
    let counter = CounterSetup {
        mode: CounterMode::Normal,
        call_outcomes: vec![CounterCallOutcome::Normal],
        call_duration: nanos(dice.log(0.000_05, 0.002)),
        shards: dice.count(1, 4),
    };
    let settings = Settings {
        plans,
        limiter_count,
        tick: dice.one(&[1, 2, 4]) * MS,
        counter: dice.chance(0.9),
        counter_timeout: nanos(dice.log(0.02, 0.1)),
        largest_request: 4.0,
        may_cancel: dice.chance(0.7),
        retry_after: true,
        longest_retry_after: nanos(dice.log(0.3, 4.0)),
        max_attempts: dice.count(1, 5),
        max_open: 20_000,
        connect_timeout: 250 * MS,
        answer_grace: 16 * MS,
        drain_grace: 1000 * MS,
        slow_start_floor: dice.from(0.1, 0.6),
        slow_start_duration: nanos(dice.log(3.0, 25.0)),
        overload_factor: 3.0,
        overload_duration: 1500 * MS,
        classes,
        ..Settings::default()
    };
    let speeds: Vec<f64> = (0..hosts).map(|_| dice.log(0.6, 1.3)).collect();
    let nodes: Vec<HostSetup> = speeds
        .iter()
        .map(|&speed| HostSetup {
            cores,
            speed,
            ..HostSetup::default()
        })
        .collect();
    let net = NetworkDelays {
        same_zone: nanos(dice.log(0.000_1, 0.001)),
        cross_zone: nanos(dice.log(0.000_4, 0.004)),
        counter: 500_000,
    };
    let load = dice.one(&[0.4, 0.55, 0.7, 0.9, 1.1]);
    let (asks, partners) = clients(
        &mut dice,
        &settings,
        &work,
        load * f64::from(cores) * speeds.iter().sum::<f64>(),
    );
    let mut steps: Vec<Step> = Vec::with_capacity(asks.len());
    for (at, ask) in asks {
        steps.push(Step {
            moments: vec![at],
            event: ScenarioEvent::Request(ask),
            reorder_group: None,
        });
    }
    let trouble = go_wrong(
        &mut dice,
        hosts as usize,
        limiter_count as usize,
        &mut steps,
    );
    let words = format!(
        "{limiter_count} limiters, {hosts} hosts of {cores}, load {load}, {} classes, {} plans, {partners} partners, {trouble}",
        work.len(),
        settings.plans.len()
    );
    let scenario = Scenario {
        ground_truth: settings.clone(),
        processes: Processes {
            zones: (0..zones).map(|zone| format!("room-{zone}")).collect(),
            limiters: (0..limiter_count)
                .map(|number| process("limiter-", number))
                .collect(),
            hosts: (0..hosts).map(|number| process("n", number)).collect(),
            partners: (0..partners).map(|number| format!("p{number}")).collect(),
            classes: settings
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
        },
        settings,
        hosts: nodes,
        network: net,
        start: 1_000_000_000_000_000_000 + nanos(dice.from(0.0, 60.0)),
        start_offsets: vec![0],
        seeds: vec![seed],
        discovery_delays: vec![nanos(dice.log(0.02, 3.0))],
        counter,
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work,
        log_deviation: dice.from(0.3, 0.9),
        steps,
        retry: dice.chance(0.7).then(|| RetryPolicy {
            delay: nanos(dice.log(0.02, 0.5)),
            next_limiter: true,
        }),
        max_duration: nanos(LENGTH + 30.0),
        variant: None,
    };
    Drawn {
        scenario,
        words,
        trouble,
    }
}

/// Partners until their mean use fills so many cores, with when each of their requests comes.
fn clients(
    dice: &mut Dice,
    set: &Settings,
    work: &[Nanos],
    cores: f64,
) -> (Vec<(Nanos, ClientRequest)>, usize) {
    let (mut asks, mut partner, mut filled) = (Vec::new(), 0, 0.0);
    let mean = work.iter().sum::<u64>() as f64 / 1e9 / work.len().max(1) as f64;
    while filled < cores && asks.len() < ERRANDS {
        let plan = dice.0.random_range(0..set.plans.len());
        let rate = set.plans[plan].rate;
        let spread = dice.count(1, set.limiter_count);
        let first = dice.0.random_range(0..set.limiter_count);
        // Most keep well inside, some keep over, some come in bursts.
        let (usage, bursts) = match dice.from(0.0, 1.0) {
            part if part < 0.15 => (dice.from(1.5, 4.0), false),
            part if part < 0.4 => (dice.from(0.3, 0.8), true),
            _ => (dice.from(0.2, 0.9), false),
        };
        filled += usage.min(1.2) * rate * mean;
        let (every, share) = (dice.log(3.0, 15.0), dice.from(0.1, 0.4));
        let each = rate * usage / if bursts { share } else { 1.0 };
        let Ok(gap) = Exp::new(each.max(1e-3)) else {
            break;
        };
        let mut at = dice.from(0.0, every);
        at = if bursts { at } else { gap.sample(&mut dice.0) };
        while at < LENGTH && asks.len() < ERRANDS {
            if bursts && (at % every) > every * share {
                at = (at / every).floor() * every + every + gap.sample(&mut dice.0);
                continue;
            }
            let class = dice.0.random_range(0..work.len());
            let units: f64 = LogNormal::new(-0.125, 0.5).map_or(1.0, |law| law.sample(&mut dice.0));
            let through = (first + dice.0.random_range(0..spread)) % set.limiter_count;
            let ask = ClientRequest {
                operation: asks.len() as u64 + 1,
                class,
                partner,
                plan: plan as u32,
                units: units.clamp(0.25, set.largest_request),
                true_units: 0.0,
                limiter: through as usize,
                limiter_set: LimiterSet {
                    count: spread,
                    first,
                },
                timeout: set.classes[class].deadline,
                retry: false,
            };
            asks.push((nanos(at), ask));
            at += gap.sample(&mut dice.0);
        }
        partner += 1;
    }
    asks.sort_by_key(|(at, _)| *at);
    (asks, partner)
}

/// What goes wrong, as steps.
fn go_wrong(
    dice: &mut Dice,
    hosts: usize,
    limiter_count: usize,
    steps: &mut Vec<Step>,
) -> &'static str {
    let begin = nanos(dice.from(4.0, 9.0));
    let end = begin + nanos(dice.log(1.0, 8.0));
    let some = (hosts as f64 * dice.from(0.1, 0.5)).max(1.0) as usize;
    let mut at = |at: Nanos, what: ScenarioEvent| {
        steps.push(Step {
            moments: vec![at],
            event: what,
            reorder_group: None,
        });
    };
    let trouble = dice.one(&[
        "nothing",
        "vanish",
        "restarts",
        "slow hosts",
        "counter silent",
        "counter refusing",
        "counter slow",
        "counter empty",
        "limiters restart",
        "drains",
    ]);
    for host in 0..some.min(hosts - 1) {
        let turn = begin + host as Nanos * 200 * MS;
        match trouble {
            "vanish" => {
                at(begin, ScenarioEvent::IsolateHost(host));
                at(end, ScenarioEvent::StartHost(host));
            }
            "restarts" => {
                at(turn, ScenarioEvent::KillHost(host));
                at(turn + 1500 * MS, ScenarioEvent::StartHost(host));
            }
            "slow hosts" => {
                at(begin, ScenarioEvent::SetHostSpeed { host, speed: 0.2 });
                at(end, ScenarioEvent::SetHostSpeed { host, speed: 1.0 });
            }
            "drains" => {
                at(turn, ScenarioEvent::DrainHost(host));
                at(turn + 3000 * MS, ScenarioEvent::StartHost(host));
            }
            _ => {}
        }
    }
    match trouble {
        "counter silent" => at(begin, ScenarioEvent::SetCounterMode(CounterMode::Silent)),
        "counter refusing" => at(begin, ScenarioEvent::SetCounterMode(CounterMode::Refusing)),
        "counter slow" => at(
            begin,
            ScenarioEvent::SetCounterMode(CounterMode::Slow(10.0)),
        ),
        "counter empty" => at(begin, ScenarioEvent::ClearCounter),
        "limiters restart" => {
            for limiter in 0..limiter_count.div_ceil(2) {
                at(
                    begin + limiter as Nanos * 700 * MS,
                    ScenarioEvent::KillLimiter(limiter),
                );
                at(
                    begin + limiter as Nanos * 700 * MS + 500 * MS,
                    ScenarioEvent::StartLimiter(limiter),
                );
            }
        }
        _ => {}
    }
    if trouble.starts_with("counter") {
        at(end, ScenarioEvent::SetCounterMode(CounterMode::Normal));
    }
    trouble
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzcleat_decision::api::HostState;

    #[test]
    fn a_seed_draws_one_deployment_and_others_differ() {
        let words: Vec<String> = (1..=40).map(|seed| draw(seed).words).collect();
        assert_eq!(
            words,
            (1..=40).map(|seed| draw(seed).words).collect::<Vec<_>>()
        );
        let troubles: std::collections::BTreeSet<_> =
            (1..=40).map(|seed| draw(seed).trouble).collect();
        assert!(troubles.len() >= 8, "{troubles:?}");
        for seed in 1..=40 {
            let drawn = draw(seed).scenario;
            let asks = drawn
                .steps
                .iter()
                .filter(|step| matches!(step.event, ScenarioEvent::Request(_)))
                .count();
            assert!(
                (20..=ERRANDS).contains(&asks),
                "seed {seed}: {asks} errands"
            );
            assert!(drawn
                .hosts
                .iter()
                .all(|node| node.state == HostState::Ready));
        }
    }
}
