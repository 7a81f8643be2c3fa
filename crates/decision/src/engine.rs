//! Decision engine: owns the time, the settings and the random generator, and routes events to the modules.

use crate::api::{Action, Actions, Class, Event, Nanos, Plan, Settings, Timer};
use crate::context::Context;
use crate::hosts::AttemptResult;
use crate::lifecycle::{Arrival, AttemptEnd, AttemptKey, RequestLifecycle};
use crate::quota::CounterReply;
use crate::snapshot::EngineSnapshot;
use crate::status::EngineStatus;
use crate::time::SECOND;

/// Interval between removals of unused records, in nanoseconds.
const SWEEP_INTERVAL: Nanos = SECOND;
/// Age beyond which a snapshot is ignored, in nanoseconds: latency scores of hosts decay within this time.
const MAX_SNAPSHOT_AGE: Nanos = 10 * SECOND;

/// Decision engine of one limiter. Instances share no state.
#[derive(Debug)]
pub struct DecisionEngine {
    settings: Settings,
    random: fastrand::Rng,
    now: Nanos,
    is_started: bool,
    lifecycle: RequestLifecycle,
}

impl DecisionEngine {
    /// Creates an engine in its initial state. The engine is deterministic: equal settings, seeds and events
    /// produce equal actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let settings = with_fallbacks(settings);
        DecisionEngine {
            lifecycle: RequestLifecycle::new(&settings, now),
            settings,
            random: fastrand::Rng::with_seed(seed),
            now,
            is_started: false,
        }
    }

    /// Advances the clock to `now`, or leaves it if `now` is earlier. The first call also starts the periodic
    /// removal of unused records and subscribes to the host list if that is polled.
    pub fn advance(&mut self, now: Nanos, actions: &mut Actions) {
        self.now = self.now.max(now);
        if self.is_started {
            return;
        }
        self.is_started = true;
        actions.push(Action::SetTimer {
            timer: Timer::Sweep,
            after: SWEEP_INTERVAL,
        });
        if self.settings.discovery.is_polled {
            actions.push(Action::Watch { on: true });
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Actions) {
        self.advance(now, actions);
        match event {
            Event::SettingsChanged { settings } => self.change_settings(*settings),
            Event::SnapshotRestored { snapshot } => self.restore(&snapshot),
            Event::Timer { timer } => self.on_timer(timer, actions),
            event => self.on_traffic(event, actions),
        }
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Actions) {
        let lifecycle = &mut self.lifecycle;
        let context = &mut Context::new(self.now, &self.settings, &mut self.random, actions);
        match timer {
            Timer::Deadline { id } => lifecycle.on_deadline(id, context),
            Timer::LatencyObjective { id } => lifecycle.on_latency_objective(id, context),
            Timer::CounterWait { id } => lifecycle.on_counter_wait_timeout(id, context),
            Timer::ReleaseQueue => lifecycle.on_release_timer(context),
            Timer::WatchHosts => context.push(Action::Watch { on: true }),
            Timer::Sweep => {
                lifecycle.remove_unused(context);
                context.set_timer(Timer::Sweep, SWEEP_INTERVAL);
            }
        }
    }

    /// Handles an event that concerns hosts, requests, attempts or counter calls.
    fn on_traffic(&mut self, event: Event, actions: &mut Actions) {
        let lifecycle = &mut self.lifecycle;
        let context = &mut Context::new(self.now, &self.settings, &mut self.random, actions);
        match event {
            Event::Hosts { mode, entries, .. } => {
                lifecycle.hosts_mut().update_hosts(mode, entries, context);
                lifecycle.release_queue(context);
            }
            Event::Request {
                id,
                class,
                plan,
                customer,
                budget,
                units,
                spread,
                ..
            } => {
                let arrival = Arrival {
                    id,
                    class,
                    plan,
                    customer,
                    budget,
                    units,
                    spread,
                };
                lifecycle.on_arrival(arrival, context);
            }
            Event::Abandoned { id } => lifecycle.on_abandoned(id, context),
            Event::CounterReplied {
                name,
                outcome,
                total,
                elapsed,
            } => {
                let reply = CounterReply {
                    outcome,
                    total,
                    elapsed,
                };
                lifecycle.on_counter_reply(&name, reply, context);
            }
            event => on_attempt_event(lifecycle, &event, context),
        }
    }

    /// Replaces the settings. Pending requests refer to classes and plans by index, so the new settings must
    /// keep these indices.
    fn change_settings(&mut self, settings: Settings) {
        let settings = with_fallbacks(settings);
        let hosts = self.lifecycle.hosts_mut();
        hosts.remap_classes(&self.settings.classes, &settings.classes);
        self.settings = settings;
    }

    /// Returns the current state, to be restored by the limiter that succeeds this one.
    #[must_use]
    pub fn snapshot(&self) -> EngineSnapshot {
        let hosts = self.lifecycle.hosts();
        let quotas = self.lifecycle.quotas();
        let shedder = self.lifecycle.shedder();
        EngineSnapshot {
            at: self.now,
            counter_calls: quotas.counter_calls_snapshot(),
            admission: shedder.snapshot(),
            mean_weight_rate: shedder.mean_weight_rate(),
            concurrency_limit: hosts.concurrency_limit(),
            classes: hosts.class_snapshots(&self.settings.classes),
            hosts: hosts.host_snapshots(),
            zones: hosts.zone_snapshots(),
            customers: quotas.customer_snapshots(),
        }
    }

    /// Restores the state from a predecessor's snapshot, unless it is older than [`MAX_SNAPSHOT_AGE`].
    fn restore(&mut self, snapshot: &EngineSnapshot) {
        let now = self.now;
        if now.saturating_sub(snapshot.at) > MAX_SNAPSHOT_AGE {
            return;
        }
        let lifecycle = &mut self.lifecycle;
        lifecycle
            .quotas_mut()
            .restore(snapshot.counter_calls, &snapshot.customers, now);
        lifecycle
            .shedder_mut()
            .restore(snapshot.admission, snapshot.mean_weight_rate, now);
        lifecycle
            .hosts_mut()
            .restore(snapshot, &self.settings.classes, now);
    }

    /// Limits the number of customers that the engine keeps records of. Requests of further customers are rejected while no
    /// record can be removed.
    pub fn limit_customers(&mut self, max_customers: usize) {
        self.lifecycle.quotas_mut().limit_customers(max_customers);
    }

    /// Returns the number of customers that the engine keeps records of.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.lifecycle.quotas().customer_count()
    }

    /// Returns the current status, for metrics.
    #[must_use]
    pub fn status(&self) -> EngineStatus {
        let hosts = self.lifecycle.hosts();
        EngineStatus {
            ready_hosts: hosts.ready_count(),
            healthy_hosts: hosts.healthy_count(),
            admission_ratio: self.lifecycle.shedder().admission_ratio(),
            concurrency_limit: hosts.concurrency_limit(),
            counter_call_ratio: self.lifecycle.quotas().call_ratio(),
            in_flight: hosts.in_flight(),
            queued: self.lifecycle.queued_count(),
        }
    }
}

/// Handles an event that concerns an attempt. Results of health checks and messages from peers are ignored.
fn on_attempt_event(lifecycle: &mut RequestLifecycle, event: &Event, context: &mut Context) {
    match *event {
        Event::StreamStarted {
            id,
            attempt,
            elapsed,
            ..
        } => {
            let key = AttemptKey {
                request: id,
                attempt,
            };
            lifecycle.on_stream_started(key, elapsed, context);
        }
        Event::AttemptDone {
            id,
            attempt,
            outcome,
            elapsed,
            is_request_finished,
            true_units,
            ..
        } => {
            let key = AttemptKey {
                request: id,
                attempt,
            };
            let end = AttemptEnd {
                result: AttemptResult { outcome, elapsed },
                is_request_finished,
                true_units,
            };
            lifecycle.on_attempt_done(key, end, context);
        }
        _ => {}
    }
}

/// Appends the fallback class, which is not idempotent, and the fallback plan, which has no quota. Requests with
/// an index out of range get these. Raises a limiter count of zero to one.
fn with_fallbacks(mut settings: Settings) -> Settings {
    settings.classes.push(Class {
        latency_objective: Nanos::MAX,
        priority_weight: 1.0,
        ..Class::default()
    });
    settings.plans.push(Plan {
        weight_factor: 1.0,
        ..Plan::default()
    });
    settings.limiters.count = settings.limiters.count.max(1);
    settings
}
