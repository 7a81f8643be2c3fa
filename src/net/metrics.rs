//! The tally: what this limiter did since its last line and what it believes now, told in one structured log line
//! now and then, so that many limiters' lines can be added up by second. Off unless our own file asks for it; it
//! decides nothing, and nothing that decides looks at it.

use super::engine::EngineDriver;
use super::resp::upstream::UpstreamPool;
use super::task::spawn;
use crate::api::{Action, Event, HostId, Nanos, Outcome};
use quartzcleat_decision::EngineStatus;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::interval;

/// The target of its log lines, which the limit on repeats leaves alone.
pub const TARGET: &str = "quartzcleat::tally";

/// What was counted of one host.
#[derive(Clone, Copy, Debug, Default)]
struct OfHost {
    attempts: u32,
    good: u32,
    full: u32,
    failed: u32,
    opened: u32,
    refused: u32,
}

/// What was counted since the last line.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    name: String,
    taken: u32,
    /// Refused by what was told when it was: at once, after the counter's answer, at a time limit, after an attempt.
    refused_at_once: u32,
    refused_by_count: u32,
    refused_by_time: u32,
    refused_after_attempt: u32,
    failed: u32,
    served: u32,
    /// Ends of attempts, by their outcome.
    ended: BTreeMap<&'static str, u32>,
    probes: u32,
    counter_calls: u32,
    counter_reads: u32,
    counter_backs: u32,
    counter_failed: u32,
    lists: u32,
    list_failures: u32,
    hosts: BTreeMap<HostId, OfHost>,
}

fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Good => "good",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "never",
    }
}

/// The metrics of one limiter, which several of its parts add to.
pub type SharedMetrics = Rc<RefCell<Metrics>>;

impl Metrics {
    /// Nothing counted yet.
    pub fn new(name: String) -> Self {
        Metrics {
            name,
            ..Metrics::default()
        }
    }

    /// Counts what the module is told.
    pub fn told(&mut self, event: &Event) -> Cause {
        match event {
            Event::Request { .. } => self.taken += 1,
            Event::AttemptDone { host, outcome, .. } => {
                *self.ended.entry(word(*outcome)).or_default() += 1;
                let of_host = self.hosts.entry(*host).or_default();
                match outcome {
                    Outcome::Good => {
                        self.served += 1;
                        of_host.good += 1;
                    }
                    Outcome::Rejected => of_host.full += 1,
                    Outcome::Cancelled | Outcome::NeverSent => {}
                    _ => of_host.failed += 1,
                }
            }
            Event::CounterReplied { outcome, .. } if *outcome != Outcome::Good => {
                self.counter_failed += 1;
            }
            Event::Hosts { .. } => self.lists += 1,
            _ => {}
        }
        event.into()
    }

    /// Counts what the module orders because of it.
    pub fn ordered(&mut self, cause: Cause, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Attempt { host, .. } => self.hosts.entry(*host).or_default().attempts += 1,
                Action::Reject { .. } => match cause {
                    Cause::Request => self.refused_at_once += 1,
                    Cause::Count => self.refused_by_count += 1,
                    Cause::Attempt => self.refused_after_attempt += 1,
                    Cause::Other => self.refused_by_time += 1,
                },
                Action::Fail { .. } => self.failed += 1,
                Action::Count { amount, .. } => {
                    self.counter_calls += 1;
                    self.counter_reads += u32::from(*amount == 0.0);
                    self.counter_backs += u32::from(*amount < 0.0);
                }
                Action::HealthCheck { .. } => self.probes += 1,
                _ => {}
            }
        }
    }

    /// Counts a connection to a host that came up or did not.
    pub fn connected(&mut self, host: HostId, up: bool) {
        let of_host = self.hosts.entry(host).or_default();
        *(if up {
            &mut of_host.opened
        } else {
            &mut of_host.refused
        }) += 1;
    }

    /// Counts a call to discovery that came to nothing.
    pub fn list_failed(&mut self) {
        self.list_failures += 1;
    }

    /// Writes the line and begins anew. `held` tells the connections that are up, by host.
    pub fn tell(&mut self, at: Nanos, view: &EngineStatus, held: &BTreeMap<HostId, usize>) {
        let fresh = Metrics::new(self.name.clone());
        let (counted, at_ms) = (std::mem::replace(self, fresh), at / 1_000_000);
        let mut hosts = String::new();
        let ids: std::collections::BTreeSet<_> = counted.hosts.keys().chain(held.keys()).collect();
        for id in ids {
            let of_host = counted.hosts.get(id).copied().unwrap_or_default();
            let OfHost {
                attempts,
                good,
                full,
                failed,
                opened,
                refused,
            } = of_host;
            let held = held.get(id).copied().unwrap_or(0);
            let _ = write!(
                hosts,
                "{:x}:{attempts}/{good}/{full}/{failed}/{opened}/{refused}/{held} ",
                id.0
            );
        }
        let mut ended = String::new();
        for (outcome, count) in &counted.ended {
            let _ = write!(ended, "{outcome}:{count} ");
        }
        tracing::info!(
            target: TARGET,
            at_ms,
            limiter = counted.name,
            taken = counted.taken,
            served = counted.served,
            refused_at_once = counted.refused_at_once,
            refused_by_count = counted.refused_by_count,
            refused_by_time = counted.refused_by_time,
            refused_after_attempt = counted.refused_after_attempt,
            failed = counted.failed,
            probes = counted.probes,
            counter_calls = counted.counter_calls,
            counter_reads = counted.counter_reads,
            counter_backs = counted.counter_backs,
            counter_failed = counted.counter_failed,
            lists = counted.lists,
            list_failures = counted.list_failures,
            listed = view.ready_hosts,
            believed_good = view.healthy_hosts,
            let_in = view.admission_ratio,
            room = view.concurrency_limit,
            ask = view.counter_call_ratio,
            out = view.in_flight,
            held = view.queued,
            ended = ended.trim_end(),
            hosts = hosts.trim_end(),
            "tally"
        );
    }
}

/// What an order follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A request that came in.
    Request,
    /// An answer of the counter, or none.
    Count,
    /// The end of an attempt.
    Attempt,
    /// A timer or a list.
    Other,
}

impl From<&Event> for Cause {
    fn from(event: &Event) -> Self {
        match event {
            Event::Request { .. } => Cause::Request,
            Event::CounterReplied { .. } => Cause::Count,
            Event::AttemptDone { .. } => Cause::Attempt,
            _ => Cause::Other,
        }
    }
}

/// Writes the metrics at an interval from now on.
pub fn start(
    metrics: SharedMetrics,
    every: Duration,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
) {
    spawn(async move {
        let mut due = interval(every);
        loop {
            due.tick().await;
            let (now, status) = (engine.now(), engine.status());
            metrics
                .borrow_mut()
                .tell(now, &status, &upstream.connections_by_host());
        }
    });
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{RequestId, Timer};

    /// Orders are counted by what they follow from, ends by host and outcome.
    #[test]
    fn what_is_told_and_ordered_is_counted_by_cause_and_host() {
        let mut metrics = Metrics::new("one".into());
        let (id, host) = (RequestId(1), HostId(5));
        let done = |outcome| Event::AttemptDone {
            id,
            attempt: 0,
            host,
            outcome,
            elapsed: 1,
            over: false,
            metered_use: 0,
            true_units: 0.0,
            load: Vec::new(),
        };
        let cause = metrics.told(&done(Outcome::Rejected));
        assert_eq!(cause, Cause::Attempt);
        let again = Action::Attempt {
            id,
            host,
            timeout: 0,
            begins_within: 1,
        };
        metrics.ordered(cause, &[again, Action::Reject { id, retry_after: 0 }]);
        let cause = metrics.told(&Event::Timer {
            timer: Timer::LatencyObjective { id },
        });
        metrics.ordered(cause, &[Action::Reject { id, retry_after: 0 }]);
        metrics.told(&done(Outcome::Good));
        metrics.connected(host, false);
        let of_host = metrics.hosts[&host];
        assert_eq!(
            (
                of_host.attempts,
                of_host.good,
                of_host.full,
                of_host.refused
            ),
            (1, 1, 1, 1)
        );
        assert_eq!(
            (
                metrics.refused_after_attempt,
                metrics.refused_by_time,
                metrics.served
            ),
            (1, 1, 1)
        );
    }
}
