//! Counts of a limiter's work since its last metrics line, and the line itself.
//!
//! The line is one structured log event, so that the lines of many limiters can be summed per second. It is off unless
//! the limiter's own configuration file turns it on, and no decision depends on it. [`metrics_log`](super::metrics_log)
//! logs it at an interval.

use super::memory::{MemoryBudget, Owner, ResidentMemory};
use crate::api::{Action, Event, HostId, Nanos, Outcome};
use quartzcleat_decision::EngineStatus;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Target of the metrics log events. The limit on repeated log events does not apply to it.
pub const TARGET: &str = "quartzcleat::metrics";

const NANOS_PER_MS: u64 = 1_000_000;

/// The metrics of one limiter, shared by the components that record them.
pub type SharedMetrics = Rc<RefCell<Metrics>>;

/// The counts for one host.
#[derive(Clone, Copy, Debug, Default)]
struct HostCounts {
    attempts: u32,
    good: u32,
    rejected: u32,
    failed: u32,
    connected: u32,
    connect_failures: u32,
}

/// Rejected requests, by the event that led to the rejection.
#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    /// The arrival of the request.
    on_arrival: u32,
    /// A reply of the counter, or its failure.
    by_count: u32,
    /// Any other event, such as a timer or an endpoint list.
    by_time: u32,
    /// The end of an attempt.
    after_attempt: u32,
}

/// The counts since the last line.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    limiter: String,
    requests: u32,
    rejections: Rejections,
    failed: u32,
    served: u32,
    /// Ended attempts by the name of their outcome.
    outcomes: BTreeMap<&'static str, u32>,
    health_checks: u32,
    counter_calls: u32,
    counter_reads: u32,
    counter_refunds: u32,
    counter_failures: u32,
    lists: u32,
    list_failures: u32,
    hosts: BTreeMap<HostId, HostCounts>,
}

/// The kind of event that leads to an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The arrival of a request.
    Request,
    /// A reply of the counter, or its failure.
    CounterReply,
    /// The end of an attempt.
    Attempt,
    /// Any other event, such as a timer or an endpoint list.
    Other,
}

impl From<&Event> for Cause {
    fn from(event: &Event) -> Self {
        match event {
            Event::Request { .. } => Cause::Request,
            Event::CounterReplied { .. } => Cause::CounterReply,
            Event::AttemptDone { .. } => Cause::Attempt,
            _ => Cause::Other,
        }
    }
}

/// Returns the name of an outcome in the metrics line.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Good => "good",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "never_sent",
    }
}

/// Formats the reserved bytes of each owner, as in `commands:65616 requests:4210 `.
fn memory_text(memory: &MemoryBudget) -> String {
    let mut text = String::new();
    for owner in Owner::ALL {
        let (name, bytes) = (owner.name(), memory.reserved(owner));
        // Writing to a string cannot fail.
        let _ = write!(text, "{name}:{bytes} ");
    }
    text
}

impl Metrics {
    /// Creates metrics with all counts at zero. `limiter` is the name of the limiter.
    pub fn new(limiter: String) -> Self {
        Metrics {
            limiter,
            ..Metrics::default()
        }
    }

    /// Counts an event that is passed to the engine, and returns the cause to record its actions with.
    pub fn record_event(&mut self, event: &Event) -> Cause {
        match event {
            Event::Request { .. } => self.requests += 1,
            Event::AttemptDone { host, outcome, .. } => self.record_outcome(*host, *outcome),
            Event::CounterReplied { outcome, .. } if *outcome != Outcome::Good => {
                self.counter_failures += 1;
            }
            Event::Hosts { .. } => self.lists += 1,
            _ => {}
        }
        event.into()
    }

    fn record_outcome(&mut self, host: HostId, outcome: Outcome) {
        *self.outcomes.entry(outcome_name(outcome)).or_default() += 1;
        let host = self.hosts.entry(host).or_default();
        match outcome {
            Outcome::Good => {
                self.served += 1;
                host.good += 1;
            }
            Outcome::Rejected => host.rejected += 1,
            Outcome::Cancelled | Outcome::NeverSent => {}
            _ => host.failed += 1,
        }
    }

    /// Counts the actions that result from an event.
    pub fn record_actions(&mut self, cause: Cause, actions: &[Action]) {
        for action in actions {
            self.record_action(cause, action);
        }
    }

    fn record_action(&mut self, cause: Cause, action: &Action) {
        match action {
            Action::Attempt { host, .. } => self.hosts.entry(*host).or_default().attempts += 1,
            Action::Reject { .. } => match cause {
                Cause::Request => self.rejections.on_arrival += 1,
                Cause::CounterReply => self.rejections.by_count += 1,
                Cause::Attempt => self.rejections.after_attempt += 1,
                Cause::Other => self.rejections.by_time += 1,
            },
            Action::Fail { .. } => self.failed += 1,
            Action::Count { amount, .. } => {
                self.counter_calls += 1;
                self.counter_reads += u32::from(*amount == 0.0);
                self.counter_refunds += u32::from(*amount < 0.0);
            }
            Action::HealthCheck { .. } => self.health_checks += 1,
            _ => {}
        }
    }

    /// Counts an established connection to a host.
    pub fn record_connect(&mut self, host: HostId) {
        self.hosts.entry(host).or_default().connected += 1;
    }

    /// Counts a failure to establish a connection to a host.
    pub fn record_connect_failure(&mut self, host: HostId) {
        self.hosts.entry(host).or_default().connect_failures += 1;
    }

    /// Counts a failed call to discovery.
    pub fn record_list_failure(&mut self) {
        self.list_failures += 1;
    }

    /// Logs the metrics and resets all counts. `connections` holds the number of connections to each host that are open
    /// or being opened.
    pub fn log(
        &mut self,
        now: Nanos,
        status: &EngineStatus,
        connections: &BTreeMap<HostId, usize>,
        memory: &MemoryBudget,
    ) {
        let resident = ResidentMemory::read();
        let fresh = Metrics::new(self.limiter.clone());
        let counted = std::mem::replace(self, fresh);
        let rejections = counted.rejections;
        tracing::info!(
            target: TARGET,
            at_ms = now / NANOS_PER_MS,
            limiter = counted.limiter,
            requests = counted.requests,
            served = counted.served,
            rejected_on_arrival = rejections.on_arrival,
            rejected_by_count = rejections.by_count,
            rejected_by_time = rejections.by_time,
            rejected_after_attempt = rejections.after_attempt,
            failed = counted.failed,
            health_checks = counted.health_checks,
            counter_calls = counted.counter_calls,
            counter_reads = counted.counter_reads,
            counter_refunds = counted.counter_refunds,
            counter_failures = counted.counter_failures,
            lists = counted.lists,
            list_failures = counted.list_failures,
            ready_hosts = status.ready_hosts,
            healthy_hosts = status.healthy_hosts,
            admission_ratio = status.admission_ratio,
            concurrency_limit = status.concurrency_limit,
            counter_call_ratio = status.counter_call_ratio,
            in_flight = status.in_flight,
            queued = status.queued,
            outcomes = counted.outcomes_text().trim_end(),
            hosts = counted.hosts_text(connections).trim_end(),
            memory_resident = resident.total,
            memory_anonymous = resident.anonymous,
            memory_reservable = memory.capacity(),
            memory_reserved = memory.total(),
            memory_peak = memory.take_peak(),
            memory_waiting = memory.waiting(),
            memory = memory_text(memory).trim_end(),
            "metrics"
        );
    }

    /// Formats the counts of outcomes, as in `good:12 timeout:1 `.
    fn outcomes_text(&self) -> String {
        let mut text = String::new();
        for (outcome, count) in &self.outcomes {
            // Writing to a string cannot fail.
            let _ = write!(text, "{outcome}:{count} ");
        }
        text
    }

    /// Formats the counts of each host as its hexadecimal id, a colon, and
    /// `attempts/good/rejected/failed/connected/connect failures/connections`, with a space after each host.
    fn hosts_text(&self, connections: &BTreeMap<HostId, usize>) -> String {
        let mut text = String::new();
        let ids: BTreeSet<_> = self.hosts.keys().chain(connections.keys()).collect();
        for id in ids {
            let HostCounts {
                attempts,
                good,
                rejected,
                failed,
                connected,
                connect_failures,
            } = self.hosts.get(id).copied().unwrap_or_default();
            let connections = connections.get(id).copied().unwrap_or(0);
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "{:x}:{attempts}/{good}/{rejected}/{failed}/{connected}/{connect_failures}/{connections} ",
                id.0
            );
        }
        text
    }
}
