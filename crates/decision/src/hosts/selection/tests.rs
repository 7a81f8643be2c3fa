use crate::api::{
    Actions, CellId, Class, ClassIndex, DedupScope, Effect, HostEntry, HostId, HostState,
    LimiterSettings, ListMode, RequestId, Settings, SlowStartSettings, ZoneId,
};
use crate::context::Context;
use crate::hosts::{HostPool, HostRequirements};
use crate::time::SECOND;

const NOW: u64 = 100 * SECOND;

fn settings() -> Settings {
    let class = Class {
        effect: Effect::IdempotentWithKey,
        dedup_scope: DedupScope::Zone,
        latency_objective: SECOND,
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        limiters: LimiterSettings {
            count: 1,
            own_zone: ZoneId(1),
            ..LimiterSettings::default()
        },
        slow_start: SlowStartSettings {
            initial_capacity: 0.5,
            duration: 10 * SECOND,
            overload_factor: 2.0,
            overload_duration: SECOND,
        },
        ..Settings::default()
    }
}

/// Returns three hosts in cells of their own: the first two in zone 1, the third in zone 2.
fn entries() -> Vec<HostEntry> {
    let entry = |id: u32, zone: u32| HostEntry {
        host: HostId(id),
        state: HostState::Ready,
        cell: CellId(id),
        zone: ZoneId(zone),
        ..HostEntry::default()
    };
    vec![entry(1, 1), entry(2, 1), entry(3, 2)]
}

fn requirements() -> HostRequirements {
    HostRequirements {
        class: ClassIndex(0),
        avoid: None,
        first_run: None,
        slow_start_sample: 0.0,
    }
}

/// Pool of listed hosts, with the state that a `Context` borrows.
struct Harness {
    settings: Settings,
    random: fastrand::Rng,
    actions: Actions,
    pool: HostPool,
}

impl Harness {
    fn new(entries: Vec<HostEntry>) -> Self {
        let settings = settings();
        let mut harness = Harness {
            pool: HostPool::new(&settings),
            settings,
            random: fastrand::Rng::with_seed(1),
            actions: Actions::new(),
        };
        let mut context = Context::new(
            NOW,
            &harness.settings,
            &mut harness.random,
            &mut harness.actions,
        );
        harness
            .pool
            .update_hosts(ListMode::Replace, entries, &mut context);
        harness
    }

    fn select(&mut self, requirements: &HostRequirements) -> Option<HostId> {
        let mut context = Context::new(NOW, &self.settings, &mut self.random, &mut self.actions);
        self.pool.select_host(requirements, &mut context)
    }
}

#[test]
fn least_loaded_host_is_selected() {
    let mut harness = Harness::new(entries());
    harness.pool.begin_attempt(RequestId(1), HostId(1), NOW);
    harness.pool.begin_attempt(RequestId(2), HostId(3), NOW);
    assert_eq!(harness.select(&requirements()), Some(HostId(2)));
}

#[test]
fn draining_and_gone_hosts_are_not_selected() {
    let mut entries = entries();
    entries[0].state = HostState::Draining;
    entries[1].state = HostState::Gone;
    assert_eq!(
        Harness::new(entries).select(&requirements()),
        Some(HostId(3))
    );
}

#[test]
fn full_hosts_are_not_selected() {
    let mut harness = Harness::new(entries());
    for request in 0..6 {
        let host = HostId(1 + request % 3);
        harness
            .pool
            .begin_attempt(RequestId(u64::from(request)), host, NOW);
    }
    assert_eq!(harness.select(&requirements()), None);
}

#[test]
fn retry_with_a_key_stays_in_its_deduplication_scope() {
    let mut harness = Harness::new(entries());
    let location = harness.pool.begin_attempt(RequestId(1), HostId(3), NOW);
    let retry = HostRequirements {
        first_run: location,
        ..requirements()
    };
    assert_eq!(harness.select(&retry), Some(HostId(3)));
}

#[test]
fn host_in_slow_start_is_selected_only_when_it_is_sampled() {
    let mut entries = entries();
    entries[0].started = NOW;
    let mut harness = Harness::new(entries);
    assert_eq!(harness.select(&requirements()), Some(HostId(1)), "sampled");
    let not_sampled = HostRequirements {
        slow_start_sample: 0.5,
        ..requirements()
    };
    assert_ne!(harness.select(&not_sampled), Some(HostId(1)));
}
