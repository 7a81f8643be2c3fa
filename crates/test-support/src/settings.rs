//! Small settings, hosts and units of time for tests of the decision engine.

use quartzcleat_decision::api::{
    AttemptSettings, BackoffSettings, Capabilities, CellId, Class, ClassIndex, CounterSettings,
    DedupScope, Effect, GraceSettings, HostEntry, HostId, HostState, LimiterSettings, Nanos, Plan,
    Settings, SlowStartSettings, UnitSettings, ZoneId,
};

/// A millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MILLISECOND;

/// The class of [`settings`] whose requests are idempotent.
pub const IDEMPOTENT: ClassIndex = ClassIndex(0);
/// The class with idempotency keys that the hosts of a cell recognise.
pub const KEYED_WITHIN_CELL: ClassIndex = ClassIndex(1);
/// The class with idempotency keys that all hosts recognise.
pub const KEYED_EVERYWHERE: ClassIndex = ClassIndex(2);
/// The class whose requests must never run twice.
pub const UNSAFE: ClassIndex = ClassIndex(3);

/// The latency objective of all classes.
pub const LATENCY_OBJECTIVE: Nanos = SECOND;
/// The deadline of all classes.
pub const DEADLINE: Nanos = 3 * SECOND;
/// How long hosts recognise a key.
pub const DEDUP_WINDOW: Nanos = 2 * SECOND;

fn class(effect: Effect, dedup_scope: DedupScope) -> Class {
    Class {
        name: "class".into(),
        effect,
        dedup_scope,
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
        dedup_window: DEDUP_WINDOW,
        priority_weight: 1.0,
        ..Class::default()
    }
}

/// Two limiters, four classes, and a plan of 12.5 units a second with a burst of 40.
#[must_use]
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Idempotent, DedupScope::All),
            class(Effect::IdempotentWithKey, DedupScope::Cell),
            class(Effect::IdempotentWithKey, DedupScope::All),
            class(Effect::Unsafe, DedupScope::Cell),
        ],
        plans: vec![Plan {
            rate: 12.5,
            burst: 40.0,
            ..Plan::default()
        }],
        limiters: LimiterSettings {
            count: 2,
            tick: 4 * MILLISECOND,
            ..LimiterSettings::default()
        },
        counter: counter_settings(),
        units: UnitSettings {
            largest_request: 4.0,
            ..UnitSettings::default()
        },
        capabilities: Capabilities {
            cancel: true,
            ..Capabilities::default()
        },
        backoff: BackoffSettings {
            sends_retry_after: true,
            longest_retry_after: 2 * SECOND,
        },
        attempts: AttemptSettings {
            max_per_request: 5,
            max_requests_in_progress: 1000,
            ..AttemptSettings::default()
        },
        grace: GraceSettings {
            drain: SECOND,
            answer: 16 * MILLISECOND,
        },
        slow_start: slow_start_settings(),
        ..Settings::default()
    }
}

fn counter_settings() -> CounterSettings {
    CounterSettings {
        is_available: true,
        timeout: 50 * MILLISECOND,
        ..CounterSettings::default()
    }
}

fn slow_start_settings() -> SlowStartSettings {
    SlowStartSettings {
        initial_capacity: 0.2,
        duration: 10 * SECOND,
        overload_factor: 2.5,
        overload_duration: SECOND,
    }
}

/// [`settings`] with a change.
#[must_use]
pub fn settings_with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut settings = settings();
    change(&mut settings);
    settings
}

/// A ready host past its slow start.
#[must_use]
pub fn host(id: u32, cell: u32) -> HostEntry {
    HostEntry {
        host: HostId(id),
        state: HostState::Ready,
        cell: CellId(cell),
        zone: ZoneId(0),
        kind: 0,
        started: 0,
        weight: 1.0,
    }
}

/// A host of a list with two hosts in each cell: 1 and 2, 3 and 4, and so on.
#[must_use]
pub fn host_of_pair(id: u32) -> HostEntry {
    host(id, cell_of_pair(HostId(id)).0)
}

/// The cell of such a host.
#[must_use]
pub fn cell_of_pair(host: HostId) -> CellId {
    CellId(host.0.div_ceil(2))
}
