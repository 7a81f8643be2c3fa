//! Pool of the known hosts: host list updates, attempts in flight and their results.

use super::class_latency::ClassLatencies;
use super::host::{AttemptResult, Host, Location, SentAttempt};
use super::latency::{sample_score, Measurement, ZoneLatencies};
use super::limits::initial_pool_limit;
use super::slow_start;
use crate::api::{
    Action, Class, ClassIndex, HostEntry, HostId, ListMode, LogEvent, Nanos, Outcome, RequestId,
    Settings, Timer,
};
use crate::context::Context;
use crate::primitives::ConcurrencyLimit;
use crate::time::{to_seconds, SECOND};
use std::collections::BTreeMap;

/// Time from a discovery failure to the next subscription to the host list, in nanoseconds.
const WATCH_RETRY_INTERVAL: Nanos = SECOND;
/// Number of consecutive failures at which a host is reported in the log.
const FAILURES_BEFORE_LOG: u32 = 3;

/// Known hosts and their measurements.
#[derive(Debug)]
pub(crate) struct HostPool {
    hosts: BTreeMap<HostId, Host>,
    /// Number of attempts of this limiter in flight at all hosts.
    pub(super) in_flight: usize,
    /// Maximum number of attempts of this limiter in flight per host at full capacity.
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) class_latencies: ClassLatencies,
    pub(super) zone_latencies: ZoneLatencies,
}

impl HostPool {
    pub(crate) fn new(settings: &Settings) -> Self {
        HostPool {
            hosts: BTreeMap::new(),
            in_flight: 0,
            concurrency_limit: ConcurrencyLimit::new(initial_pool_limit(settings)),
            class_latencies: ClassLatencies::new(settings.classes.len()),
            zone_latencies: ZoneLatencies::default(),
        }
    }

    /// Applies a host list. If discovery failed and the list is polled, schedules a new subscription.
    pub(crate) fn update_hosts(
        &mut self,
        mode: ListMode,
        entries: Vec<HostEntry>,
        context: &mut Context,
    ) {
        if mode == ListMode::Unavailable && context.settings().discovery.is_polled {
            context.set_timer(Timer::WatchHosts, WATCH_RETRY_INTERVAL);
        }
        if matches!(mode, ListMode::Replace | ListMode::Restored) {
            self.mark_all_gone();
        }
        for entry in entries {
            self.update_host(entry, context);
        }
    }

    fn mark_all_gone(&mut self) {
        for host in self.hosts.values_mut() {
            host.mark_gone();
        }
    }

    fn update_host(&mut self, entry: HostEntry, context: &Context) {
        let (settings, now) = (context.settings(), context.now());
        match self.hosts.get_mut(&entry.host) {
            Some(host) => host.update(entry, settings, now),
            None => {
                self.hosts
                    .insert(entry.host, Host::new(entry, settings, now));
            }
        }
    }

    /// Removes hosts that are gone and have no attempt in flight, which would otherwise accumulate as hosts are
    /// replaced.
    pub(crate) fn remove_unused(&mut self) {
        self.hosts.retain(|_, host| !host.is_unused());
    }

    /// Reorders the mean answer times after a change of the settings. Classes are matched by name.
    pub(crate) fn remap_classes(&mut self, previous: &[Class], current: &[Class]) {
        self.class_latencies.remap_classes(previous, current);
    }

    /// Records that an attempt is sent at `now`. Returns the host's location, or `None` for an unknown host.
    pub(crate) fn begin_attempt(
        &mut self,
        request: RequestId,
        host: HostId,
        now: Nanos,
    ) -> Option<Location> {
        let host = self.hosts.get_mut(&host)?;
        host.begin_attempt(request, now);
        self.in_flight += 1;
        Some(host.location())
    }

    /// Records that an attempt is no longer in flight, whatever its result.
    pub(crate) fn end_attempt(&mut self, attempt: &SentAttempt) {
        if let Some(host) = self.hosts.get_mut(&attempt.host) {
            host.end_attempt(attempt.request, attempt.sent_at);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the result of an attempt that may have reached the host, in the measurements of the host, its
    /// zone and the request's class.
    pub(crate) fn record_result(
        &mut self,
        attempt: &SentAttempt,
        result: &AttemptResult,
        context: &mut Context,
    ) {
        let measurement = match result.outcome {
            Outcome::Good => Measurement::Answer,
            _ => Measurement::Failure,
        };
        self.record_latency(attempt, result.elapsed, measurement, context.now());
        self.adjust_host_limit(attempt, result, context);
        match result.outcome {
            Outcome::Good => self.record_success(attempt, result.elapsed),
            Outcome::Rejected => {}
            _ => self.record_failure(attempt.host, context),
        }
    }

    /// Records that an attempt has missed the latency objective of its class. Its result follows later.
    pub(crate) fn record_missed_objective(&mut self, attempt: &SentAttempt, now: Nanos) {
        let elapsed = now - attempt.sent_at;
        self.record_latency(attempt, elapsed, Measurement::Failure, now);
    }

    fn record_latency(
        &mut self,
        attempt: &SentAttempt,
        elapsed: Nanos,
        measurement: Measurement,
        now: Nanos,
    ) {
        let class_mean = self.class_latencies.mean_seconds(attempt.class);
        let Some(host) = self.hosts.get_mut(&attempt.host) else {
            return;
        };
        // Before the first answer of the class there is no mean to compare with.
        if class_mean <= 0.0 {
            return;
        }
        let sample = sample_score(to_seconds(elapsed), class_mean, measurement);
        host.latency.record(sample, now);
        self.zone_latencies.record(host.entry.zone, sample, now);
    }

    fn record_success(&mut self, attempt: &SentAttempt, elapsed: Nanos) {
        if let Some(host) = self.hosts.get_mut(&attempt.host) {
            host.consecutive_failures = 0;
            self.class_latencies
                .record(attempt.class, to_seconds(elapsed));
        }
    }

    fn record_failure(&mut self, id: HostId, context: &mut Context) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        host.consecutive_failures += 1;
        if host.consecutive_failures == FAILURES_BEFORE_LOG {
            let event = LogEvent::HostFailing {
                host: id,
                consecutive_failures: host.consecutive_failures,
            };
            context.push(Action::Log { event });
        }
    }

    /// Returns the mean answer time of a class; zero before its first answer.
    pub(crate) fn mean_latency(&self, class: ClassIndex) -> Nanos {
        self.class_latencies.mean(class)
    }

    /// Returns the maximum number of attempts of this limiter in flight per host at full capacity.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.value()
    }

    /// Returns the number of attempts of this limiter in flight at all hosts.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the hosts that new attempts may be sent to, in the order of their ids.
    pub(super) fn ready_hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().filter(|host| host.is_ready())
    }

    /// Returns all known hosts in the order of their ids.
    pub(super) fn hosts(&self) -> impl Iterator<Item = (HostId, &Host)> {
        self.hosts.iter().map(|(id, host)| (*id, host))
    }

    pub(super) fn host_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.hosts.get_mut(&id)
    }

    /// Returns the total capacity of the ready hosts; a host past slow start counts as 1.0.
    pub(super) fn ready_capacity(&self, context: &Context) -> f64 {
        let slow_start = &context.settings().slow_start;
        let progress = |host: &Host| slow_start::progress(host, slow_start, context.now());
        self.ready_hosts().map(progress).sum()
    }

    /// Returns whether no host is known, not even a draining or gone one.
    pub(crate) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.ready_hosts().count()
    }

    pub(crate) fn healthy_count(&self) -> usize {
        self.ready_hosts().filter(|host| host.is_healthy()).count()
    }

    /// Returns whether a ready host has no attempt of this limiter in flight.
    pub(crate) fn has_idle_host(&self) -> bool {
        self.ready_hosts().any(Host::is_idle)
    }
}
