//! Random classes, plans and settings.

use super::random::Random;
use super::{nanos, NANOS_PER_MS};
use quartzcleat_decision::api::{
    AttemptSettings, BackoffSettings, Capabilities, Class, CounterSettings, DedupScope, Effect,
    GraceSettings, LimiterSettings, Nanos, Plan, Settings, SlowStartSettings, UnitSettings,
};

/// The shortest latency objective: below it the network alone decides.
const MIN_LATENCY_OBJECTIVE: Nanos = 30 * NANOS_PER_MS;

/// The classes of a deployment.
pub(super) struct Classes {
    /// The classes.
    pub classes: Vec<Class>,
    /// The work of a request, by class.
    pub work: Vec<Nanos>,
}

/// Random classes.
pub(super) fn classes(random: &mut Random) -> Classes {
    let mut generated = Classes {
        classes: Vec::new(),
        work: Vec::new(),
    };
    for number in 0..random.count(1, 4) {
        let work_seconds = random.log_uniform(0.004, 0.4);
        generated.work.push(nanos(work_seconds));
        generated.classes.push(class(random, number, work_seconds));
    }
    generated
}

fn class(random: &mut Random, number: u32, work_seconds: f64) -> Class {
    let latency_objective =
        nanos(work_seconds * random.log_uniform(3.0, 30.0)).max(MIN_LATENCY_OBJECTIVE);
    Class {
        name: format!("class-{number}"),
        effect: random.choose(&[
            Effect::Idempotent,
            Effect::IdempotentWithKey,
            Effect::Unsafe,
        ]),
        dedup_scope: random.choose(&[DedupScope::All, DedupScope::Zone, DedupScope::Cell]),
        dedup_window: nanos(random.log_uniform(1.0, 20.0)),
        latency_objective,
        deadline: (latency_objective as f64 * random.log_uniform(1.5, 6.0)) as Nanos,
        priority_weight: random.log_uniform(0.5, 8.0),
        late_weight: random.choose(&[0.0, 0.2, 0.5]),
        ..Class::default()
    }
}

/// Random plans.
pub(super) fn plans(random: &mut Random) -> Vec<Plan> {
    (0..random.count(1, 4))
        .map(|number| plan(random, number))
        .collect()
}

fn plan(random: &mut Random, number: u32) -> Plan {
    let rate = random.log_uniform(0.4, 60.0);
    Plan {
        name: format!("plan-{number}"),
        rate,
        burst: (rate * random.log_uniform(0.6, 10.0)).max(2.0),
        weight_factor: random.uniform(0.5, 2.0),
        over_quota_weight: random.choose(&[0.0, 0.0, 0.3]),
        over_quota_cost: random.choose(&[0.0, 0.6, 1.2]),
        ..Plan::default()
    }
}

/// Random settings with given classes and plans.
pub(super) fn settings(
    random: &mut Random,
    classes: Vec<Class>,
    plans: Vec<Plan>,
    limiter_count: u32,
) -> Settings {
    Settings {
        plans,
        limiters: LimiterSettings {
            count: limiter_count,
            tick: random.choose(&[1, 2, 4]) * NANOS_PER_MS,
            ..LimiterSettings::default()
        },
        counter: CounterSettings {
            is_available: random.chance(0.9),
            timeout: nanos(random.log_uniform(0.02, 0.1)),
            ..CounterSettings::default()
        },
        units: UnitSettings {
            largest_request: 4.0,
            ..UnitSettings::default()
        },
        capabilities: Capabilities {
            cancel: random.chance(0.7),
            ..Capabilities::default()
        },
        backoff: BackoffSettings {
            sends_retry_after: true,
            longest_retry_after: nanos(random.log_uniform(0.3, 4.0)),
        },
        attempts: AttemptSettings {
            max_per_request: random.count(1, 5),
            max_requests_in_progress: 20_000,
            connect_timeout: 250 * NANOS_PER_MS,
        },
        grace: GraceSettings {
            answer: 16 * NANOS_PER_MS,
            drain: 1000 * NANOS_PER_MS,
        },
        slow_start: SlowStartSettings {
            initial_capacity: random.uniform(0.1, 0.6),
            duration: nanos(random.log_uniform(3.0, 25.0)),
            overload_factor: 3.0,
            overload_duration: 1500 * NANOS_PER_MS,
        },
        classes,
        ..Settings::default()
    }
}
