//! Small scenarios with three limiters, two classes, and hosts in three zones.

use quartzcleat_decision::api::{
    AttemptSettings, BackoffSettings, Capabilities, CellId, Class, ClassIndex, CounterSettings,
    DedupScope, Effect, GraceSettings, LimiterIndex, LimiterSettings, Nanos, Plan, PlanIndex,
    Settings, SlowStartSettings, UnitSettings, ZoneId,
};
use quartzcleat_invariants::{PartnerIndex, Process, Processes};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, ClientRequest, CounterSetup, HostSetup, LimiterSet, NetworkDelays, Scenario,
    ScenarioEvent, Step,
};

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;
pub(crate) const START: Nanos = 1_000_000 * SECOND;

/// Index of an idempotent class.
pub(crate) const BED_CHECK: ClassIndex = ClassIndex(0);
/// Index of a class with idempotency keys.
pub(crate) const BED_HOLD: ClassIndex = ClassIndex(1);
pub(crate) const BED_CHECK_DEADLINE: Nanos = 7_500 * MILLISECOND;
pub(crate) const BED_HOLD_DEADLINE: Nanos = 4 * SECOND;

pub(crate) fn classes() -> Vec<Class> {
    let class = Class {
        dedup_scope: DedupScope::All,
        dedup_window: 4 * SECOND,
        priority_weight: 2.0,
        late_weight: 0.2,
        ..Class::default()
    };
    let bed_check = Class {
        name: "bed-check".into(),
        effect: Effect::Idempotent,
        latency_objective: 2 * SECOND,
        deadline: BED_CHECK_DEADLINE,
        ..class.clone()
    };
    let bed_hold = Class {
        name: "bed-hold".into(),
        effect: Effect::IdempotentWithKey,
        latency_objective: SECOND,
        deadline: BED_HOLD_DEADLINE,
        ..class
    };
    vec![bed_check, bed_hold]
}

pub(crate) fn settings() -> Settings {
    Settings {
        classes: classes(),
        plans: vec![Plan {
            name: "guide".into(),
            rate: 1.6,
            burst: 8.0,
            weight_factor: 0.72,
            ..Plan::default()
        }],
        limiters: LimiterSettings {
            tick: 4 * MILLISECOND,
            ..LimiterSettings::default()
        },
        counter: CounterSettings {
            is_available: true,
            timeout: 30 * MILLISECOND,
            ..CounterSettings::default()
        },
        units: UnitSettings {
            largest_request: 6.0,
            ..UnitSettings::default()
        },
        capabilities: Capabilities {
            cancel: true,
            ..Capabilities::default()
        },
        backoff: BackoffSettings {
            sends_retry_after: true,
            longest_retry_after: SECOND,
        },
        attempts: AttemptSettings {
            max_per_request: 4,
            max_requests_in_progress: 20_000,
            connect_timeout: 250 * MILLISECOND,
        },
        grace: GraceSettings {
            answer: 16 * MILLISECOND,
            drain: SECOND,
        },
        slow_start: SlowStartSettings {
            initial_capacity: 0.15,
            duration: 18 * SECOND,
            overload_factor: 3.0,
            overload_duration: 1_500 * MILLISECOND,
        },
        ..Settings::default()
    }
}

pub(crate) fn scenario(hosts: u32, steps: Vec<Step>) -> Scenario {
    let process = |name: String, zone| Process {
        name,
        zone: ZoneId(zone),
        cell: CellId(0),
    };
    let processes = Processes {
        zones: vec!["room-a".into(), "room-b".into(), "room-c".into()],
        limiters: (0..3)
            .map(|index| process(format!("limiter-{index}"), index))
            .collect(),
        hosts: (0..hosts)
            .map(|index| process(format!("n{index}"), index % 3))
            .collect(),
        partners: vec!["X".into(), "Y".into()],
        classes: vec!["bed-check".into(), "bed-hold".into()],
    };
    Scenario {
        settings: settings(),
        ground_truth: settings(),
        processes,
        hosts: vec![HostSetup::default(); hosts as usize],
        network: NetworkDelays::default(),
        start: START,
        start_offsets: vec![0],
        seeds: vec![7],
        discovery_delays: vec![0],
        counter: CounterSetup::default(),
        attempt_outcomes: vec![AttemptOutcome::Normal],
        work: vec![180 * MILLISECOND, 110 * MILLISECOND],
        log_deviation: 0.0,
        steps,
        retry: None,
        max_duration: 20 * SECOND,
        variant: None,
    }
}

pub(crate) fn request(operation: u64, class: ClassIndex, limiter: LimiterIndex) -> ScenarioEvent {
    let timeout = if class == BED_CHECK {
        BED_CHECK_DEADLINE
    } else {
        BED_HOLD_DEADLINE
    };
    ScenarioEvent::Request(ClientRequest {
        operation,
        class,
        partner: PartnerIndex(0),
        plan: PlanIndex(0),
        units: 1.0,
        true_units: 0.0,
        limiter,
        limiter_set: LimiterSet {
            count: 3,
            first: LimiterIndex(0),
        },
        timeout,
        retry: false,
    })
}

pub(crate) fn step(moments: &[Nanos], event: ScenarioEvent) -> Step {
    Step {
        moments: moments.to_vec(),
        event,
        reorder_group: None,
    }
}

/// Returns the limiter of a request when requests are assigned to the limiters in rotation.
pub(crate) fn limiter_in_rotation(request: u64) -> LimiterIndex {
    LimiterIndex((request % 3) as u32)
}

/// Returns steps that send requests of alternating classes to the limiters in rotation.
pub(crate) fn mixed_requests(count: u64, interval: Nanos) -> Vec<Step> {
    (0..count)
        .map(|number| {
            let class = if number % 2 == 0 { BED_CHECK } else { BED_HOLD };
            let event = request(number, class, limiter_in_rotation(number));
            step(&[number * interval], event)
        })
        .collect()
}
