//! A decision engine with small settings that tests drive by hand.
#![allow(dead_code)] // Each test target uses a part of it.

use quartzcleat::api::*;
use quartzcleat::choice::DecisionEngine;

pub const MS: u64 = 1_000_000;
pub const S: u64 = 1_000 * MS;

pub fn class(effect: Effect, dedup_scope: DedupScope) -> Class {
    let (latency_objective, deadline, dedup_window) = (S, 3 * S, 2 * S);
    Class {
        name: "class".into(),
        effect,
        dedup_scope,
        latency_objective,
        deadline,
        dedup_window,
        priority_weight: 1.0,
        ..Class::default()
    }
}

/// The classes: idempotent, with a key (deduplicated in a cell), with a key (by all hosts), unsafe.
fn classes() -> Vec<Class> {
    vec![
        class(Effect::Idempotent, DedupScope::All),
        class(Effect::IdempotentWithKey, DedupScope::Cell),
        class(Effect::IdempotentWithKey, DedupScope::All),
        class(Effect::Unsafe, DedupScope::Cell),
    ]
}

/// One plan of 12.5 units a second with a burst of 40, and the classes of [`classes`].
pub fn settings() -> Settings {
    Settings {
        classes: classes(),
        plans: vec![Plan {
            rate: 12.5,
            burst: 40.0,
            ..Plan::default()
        }],
        limiters: LimiterSettings {
            count: 2,
            tick: 4 * MS,
            ..LimiterSettings::default()
        },
        counter: CounterSettings {
            is_available: true,
            timeout: 50 * MS,
            ..CounterSettings::default()
        },
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
            longest_retry_after: 2 * S,
        },
        attempts: AttemptSettings {
            max_per_request: 5,
            max_requests_in_progress: 1000,
            ..AttemptSettings::default()
        },
        grace: GraceSettings {
            drain: S,
            answer: 16 * MS,
        },
        slow_start: SlowStartSettings {
            initial_capacity: 0.2,
            duration: 10 * S,
            overload_factor: 2.5,
            overload_duration: S,
        },
        ..Settings::default()
    }
}

/// The settings with a change.
pub fn settings_with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut settings = settings();
    change(&mut settings);
    settings
}

pub fn host(id: u32, cell: u32) -> HostEntry {
    let state = HostState::Ready;
    HostEntry {
        host: HostId(id),
        state,
        cell: CellId(cell),
        zone: ZoneId(0),
        kind: 0,
        started: 0,
        weight: 1.0,
    }
}

/// A host of a list with two hosts in each cell.
pub fn paired(id: u32) -> HostEntry {
    host(id, id.div_ceil(2))
}

/// How an attempt ended; by default the first one successfully, and the request with it.
pub struct Ended {
    pub attempt: u32,
    pub outcome: Outcome,
    pub elapsed: u64,
    pub is_request_finished: bool,
    pub metered_use: u64,
    pub true_units: f64,
    pub load: LoadReport,
}

impl Default for Ended {
    fn default() -> Self {
        Ended {
            attempt: 0,
            outcome: Outcome::Good,
            elapsed: MS,
            is_request_finished: true,
            metered_use: 0,
            true_units: 0.0,
            load: LoadReport::default(),
        }
    }
}

pub struct Rig {
    pub engine: DecisionEngine,
    pub now: u64,
    pub spread: u32,
    next: u64,
}

impl Rig {
    /// A limiter at 1000 s with `hosts` hosts past slow start, two to a cell.
    pub fn new(settings: Settings, hosts: u32) -> Rig {
        Rig::seeded(settings, hosts, 7)
    }

    /// The same with a seed of its own.
    pub fn seeded(settings: Settings, hosts: u32, seed: u64) -> Rig {
        let now = 1000 * S;
        let mut rig = Rig {
            engine: DecisionEngine::new(settings, seed, now),
            now,
            spread: 2,
            next: 0,
        };
        rig.hosts(ListMode::Restored, (1..=hosts).map(paired).collect());
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.engine.handle(self.now, event, &mut out);
        out
    }

    pub fn hosts(&mut self, mode: ListMode, entries: Vec<HostEntry>) -> Vec<Action> {
        self.event(Event::Hosts {
            version: 1,
            mode,
            entries,
        })
    }

    /// The id that the next request will have.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next + 1)
    }

    pub fn request(&mut self, class: u32, customer: u64, units: f64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let customer = CustomerId(customer);
        let request = Event::Request {
            id,
            class: ClassIndex(class),
            plan: PlanIndex(0),
            customer,
            budget: 3 * S,
            units,
            spread: self.spread,
            first_limiter: LimiterIndex(0),
            flags: 0,
        };
        (id, self.event(request))
    }

    pub fn counted(&mut self, name: &str, outcome: Outcome, total: f64) -> Vec<Action> {
        self.event(Event::CounterReplied {
            name: name.into(),
            outcome,
            total,
            elapsed: 4 * MS,
        })
    }

    pub fn done(
        &mut self,
        id: RequestId,
        attempt: u32,
        host: HostId,
        outcome: Outcome,
        over: bool,
    ) -> Vec<Action> {
        self.ended(
            id,
            host,
            Ended {
                attempt,
                outcome,
                is_request_finished: over,
                ..Ended::default()
            },
        )
    }

    /// An outcome with all of its fields.
    pub fn ended(&mut self, id: RequestId, host: HostId, end: Ended) -> Vec<Action> {
        let Ended {
            attempt,
            outcome,
            elapsed,
            is_request_finished,
            metered_use,
            true_units,
            load,
        } = end;
        self.event(Event::AttemptDone {
            id,
            attempt: AttemptIndex(attempt),
            host,
            outcome,
            elapsed,
            is_request_finished,
            metered_use,
            true_units,
            load,
        })
    }

    pub fn timer(&mut self, timer: Timer) -> Vec<Action> {
        self.event(Event::Timer { timer })
    }

    /// A request that the counter's replies admit: its id, and the actions that follow from the last reply.
    pub fn admitted(&mut self, class: u32, customer: u64, units: f64) -> (RequestId, Vec<Action>) {
        let (id, actions) = self.request(class, customer, units);
        let (name, amount) = count(&actions).expect("an add before the verdict");
        let mut actions = self.counted(&name, Outcome::Good, amount);
        if let Some((previous, _)) = count(&actions) {
            actions = self.counted(&previous, Outcome::Good, 0.0);
        }
        (id, actions)
    }

    /// An admitted request that is sent: its id and its host.
    pub fn passed(&mut self, class: u32, customer: u64) -> (RequestId, HostId) {
        let (id, actions) = self.admitted(class, customer, 1.0);
        (id, attempt(&actions).expect("sent").1)
    }
}

pub fn count(actions: &[Action]) -> Option<(String, f64)> {
    actions.iter().find_map(|a| match a {
        Action::Count { name, amount, .. } => Some((name.clone(), *amount)),
        _ => None,
    })
}

pub fn as_attempt(action: &Action) -> Option<(RequestId, HostId)> {
    match action {
        Action::Attempt { id, host, .. } => Some((*id, *host)),
        _ => None,
    }
}

pub fn attempt(actions: &[Action]) -> Option<(RequestId, HostId)> {
    actions.iter().find_map(as_attempt)
}

pub fn rejected(actions: &[Action], id: RequestId) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::Reject {
            id: rejected,
            retry_after,
        } if *rejected == id => Some(*retry_after),
        _ => None,
    })
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { id })
}

/// The timers that are set.
pub fn timers(actions: &[Action]) -> Vec<Timer> {
    let timer = |action: &Action| match action {
        Action::SetTimer { timer, .. } => Some(*timer),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// The timer of a request that waits for the counter.
pub fn counter_wait(actions: &[Action]) -> Option<Timer> {
    let is_wait = |timer: &Timer| matches!(timer, Timer::CounterWait { .. });
    timers(actions).into_iter().find(is_wait)
}

/// The timer of a request's latency objective.
pub fn latency_objective(actions: &[Action]) -> Option<Timer> {
    let is_objective = |timer: &Timer| matches!(timer, Timer::LatencyObjective { .. });
    timers(actions).into_iter().find(is_objective)
}
