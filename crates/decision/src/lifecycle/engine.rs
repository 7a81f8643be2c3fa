//! The decision engine: its state, and the routing of events to their handlers. Decisions are in the other
//! modules.

use super::request::{AttemptEnd, AttemptKey, PendingRequest, RequestState};
use super::with_fallbacks;
use crate::api::*;
use crate::host_selection::{ClassLatency, HostPool, HostRequirements, InFlightAttempt};
use crate::quota::{CounterReply, QuotaClaim, QuotaTracker, VerdictBasis};
use crate::units::SECOND;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Decision engine of one limiter. Instances share nothing.
#[derive(Debug, Default)]
pub struct DecisionEngine {
    pub(crate) settings: Arc<Settings>,
    pub(super) random: fastrand::Rng,
    pub(crate) now: Nanos,
    is_started: bool,
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    pub(super) in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Requests in state [`RequestState::Queued`]; also some that have left it.
    pub(crate) queue: VecDeque<RequestId>,
    pub(super) is_queue_timer_set: bool,
    pub(crate) quotas: QuotaTracker,
    pub(crate) host_pool: HostPool,
    /// Retries that are available for attempts that may have run.
    pub(super) retry_tokens: f64,
    /// Mean priority weight per second of work.
    pub(crate) mean_weight_rate: f64,
}

impl DecisionEngine {
    /// An engine at its start. Equal seeds and events lead to equal actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let settings = Arc::new(with_fallbacks(settings));
        DecisionEngine {
            random: fastrand::Rng::with_seed(seed),
            now,
            quotas: QuotaTracker::new(settings.clone(), now),
            host_pool: HostPool::new(settings.clone(), now),
            settings,
            retry_tokens: 1.0,
            ..DecisionEngine::default()
        }
    }

    /// Advances the clock, which never goes back; the first call also starts the periodic work.
    pub fn advance(&mut self, now: Nanos, actions: &mut Actions) {
        self.now = self.now.max(now);
        self.quotas.now = self.now;
        self.host_pool.now = self.now;
        if self.is_started {
            return;
        }
        self.is_started = true;
        actions.push(Action::SetTimer {
            timer: Timer::Sweep,
            after: SECOND,
        });
        if self.settings.discovery.is_polled {
            actions.push(Action::Watch { on: true });
        }
    }

    /// Handles one event at the time `now` and appends the actions that follow from it.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Actions) {
        self.advance(now, actions);
        match event {
            Event::Hosts { mode, entries, .. } => {
                self.host_pool.update_hosts(mode, entries, actions);
                self.release_queue(actions);
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
                let plan = plan.as_usize().min(self.settings.plans.len() - 1);
                let spread = spread.clamp(1, self.settings.limiters.count);
                let claim = QuotaClaim {
                    customer,
                    plan,
                    units: units.max(0.0),
                    spread,
                    charge: None,
                };
                let request = self.new_request(claim, class.as_usize(), budget);
                self.on_request(id, request, budget, actions);
            }
            Event::StreamStarted {
                id,
                attempt,
                elapsed,
                ..
            } => {
                self.on_stream_started(
                    AttemptKey {
                        request: id,
                        attempt,
                    },
                    elapsed,
                    actions,
                );
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
                let end = AttemptEnd {
                    outcome,
                    elapsed,
                    is_request_finished,
                    true_units,
                };
                self.on_attempt_done(
                    AttemptKey {
                        request: id,
                        attempt,
                    },
                    end,
                    actions,
                );
            }
            Event::Abandoned { id } => drop(self.close(id, actions)),
            Event::Timer { timer } => self.on_timer(timer, actions),
            Event::CounterReplied {
                name,
                outcome,
                total,
                elapsed,
            } => {
                self.on_counter_reply(
                    &name,
                    CounterReply {
                        outcome,
                        total,
                        elapsed,
                    },
                    actions,
                );
            }
            Event::SettingsChanged { settings } => self.change_settings(*settings),
            Event::SnapshotRestored { snapshot } => self.restore(&snapshot),
            Event::HealthCheckDone { .. } | Event::Peer { .. } => {}
        }
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Actions) {
        match timer {
            Timer::Deadline { id } => self.on_deadline(id, actions),
            Timer::LatencyObjective { id } => self.on_latency_objective(id, actions),
            // The counter did not reply in time: the verdict follows from what is known.
            Timer::CounterWait { id } => self.judge(id, VerdictBasis::LocalKnowledge, actions),
            Timer::ReleaseQueue => {
                self.is_queue_timer_set = false;
                self.release_queue(actions);
            }
            Timer::WatchHosts => actions.push(Action::Watch { on: true }),
            Timer::Sweep => {
                self.quotas.remove_unused();
                self.host_pool.remove_unused();
                actions.push(Action::SetTimer {
                    timer: Timer::Sweep,
                    after: SECOND,
                });
            }
        }
    }

    fn on_counter_reply(&mut self, name: &str, reply: CounterReply, actions: &mut Actions) {
        let Some(ready) = self.quotas.record_reply(name, reply, actions) else {
            return;
        };
        for id in ready.requests {
            self.judge(id, ready.basis, actions);
        }
    }

    fn new_request(&mut self, claim: QuotaClaim, class: usize, budget: Nanos) -> PendingRequest {
        PendingRequest {
            claim,
            requirements: HostRequirements {
                class: class.min(self.settings.classes.len() - 1),
                avoid: None,
                first_run: None,
                slow_start_draw: self.random.f64(),
            },
            arrived_at: self.now,
            deadline: self.now.saturating_add(budget),
            state: RequestState::AwaitingCounter,
            attempts: 0,
            first_run: None,
        }
    }

    /// Replaces the settings. Answer times of a class are kept by its name.
    fn change_settings(&mut self, settings: Settings) {
        let previous = std::mem::replace(&mut self.settings, Arc::new(with_fallbacks(settings)));
        let latency_of = |class: &Class| {
            let index = previous
                .classes
                .iter()
                .rposition(|old| old.name == class.name);
            index.map_or_else(ClassLatency::default, |index| {
                self.host_pool.class_latency[index]
            })
        };
        self.host_pool.class_latency = self.settings.classes.iter().map(latency_of).collect();
        self.quotas.settings = self.settings.clone();
        self.host_pool.settings = self.settings.clone();
    }
}
