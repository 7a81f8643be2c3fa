//! Random incidents: faults of hosts, the counter or limiters.

use super::random::Random;
use super::{nanos, step, NANOS_PER_MS};
use quartzcleat_decision::api::{LimiterIndex, Nanos};
use quartzcleat_invariants::HostIndex;
use quartzcleat_simulation::scenario::{CounterMode, ScenarioEvent, Step};
use std::fmt;

/// The time from one host's fault to the next one's.
const HOST_INTERVAL: Nanos = 200 * NANOS_PER_MS;
const HOST_RESTART_TIME: Nanos = 1500 * NANOS_PER_MS;
const DRAIN_TIME: Nanos = 3000 * NANOS_PER_MS;
const SLOW_HOST_SPEED: f64 = 0.2;
const SLOW_COUNTER_FACTOR: f64 = 10.0;
/// The time from one limiter's restart to the next one's.
const LIMITER_INTERVAL: Nanos = 700 * NANOS_PER_MS;
const LIMITER_RESTART_TIME: Nanos = 500 * NANOS_PER_MS;

/// An incident in a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Incident {
    /// Nothing.
    None,
    /// Machines vanish and come back.
    HostsVanish,
    /// Hosts restart, one after another.
    HostsRestart,
    /// Hosts are slow for a time.
    SlowHosts,
    /// The counter does not answer.
    CounterSilent,
    /// The counter refuses calls.
    CounterRefusing,
    /// The counter is slow.
    CounterSlow,
    /// The counter loses its totals.
    CounterEmpty,
    /// Limiters restart, one after another.
    LimitersRestart,
    /// Hosts are drained and started, one after another.
    Drains,
}

/// All incidents. Random incidents are chosen by their position here.
const INCIDENTS: [Incident; 10] = [
    Incident::None,
    Incident::HostsVanish,
    Incident::HostsRestart,
    Incident::SlowHosts,
    Incident::CounterSilent,
    Incident::CounterRefusing,
    Incident::CounterSlow,
    Incident::CounterEmpty,
    Incident::LimitersRestart,
    Incident::Drains,
];

impl Incident {
    /// The name in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Incident::None => "nothing",
            Incident::HostsVanish => "vanish",
            Incident::HostsRestart => "restarts",
            Incident::SlowHosts => "slow hosts",
            Incident::CounterSilent => "counter silent",
            Incident::CounterRefusing => "counter refusing",
            Incident::CounterSlow => "counter slow",
            Incident::CounterEmpty => "counter empty",
            Incident::LimitersRestart => "limiters restart",
            Incident::Drains => "drains",
        }
    }

    /// The mode of the counter during the incident, where it concerns the counter.
    fn counter_event(self) -> Option<ScenarioEvent> {
        match self {
            Incident::CounterSilent => Some(ScenarioEvent::SetCounterMode(CounterMode::Silent)),
            Incident::CounterRefusing => Some(ScenarioEvent::SetCounterMode(CounterMode::Refusing)),
            Incident::CounterSlow => Some(ScenarioEvent::SetCounterMode(CounterMode::Slow(
                SLOW_COUNTER_FACTOR,
            ))),
            Incident::CounterEmpty => Some(ScenarioEvent::ClearCounter),
            _ => None,
        }
    }
}

impl fmt::Display for Incident {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// An incident and its time.
pub(super) struct ScheduledIncident {
    /// The incident.
    pub incident: Incident,
    begin: Nanos,
    end: Nanos,
    /// The number of hosts that it concerns, where it concerns hosts.
    hosts: usize,
    /// The number of limiters that it concerns, where it concerns limiters.
    limiters: usize,
}

impl ScheduledIncident {
    /// A random incident in a deployment of some hosts and limiters. At least one host stays sound.
    pub(super) fn generate(random: &mut Random, hosts: usize, limiters: usize) -> Self {
        let begin = nanos(random.uniform(4.0, 9.0));
        let end = begin + nanos(random.log_uniform(1.0, 8.0));
        let struck_hosts = (hosts as f64 * random.uniform(0.1, 0.5)).max(1.0) as usize;
        ScheduledIncident {
            incident: random.choose(&INCIDENTS),
            begin,
            end,
            hosts: struck_hosts.min(hosts - 1),
            limiters: limiters.div_ceil(2),
        }
    }

    /// The incident as steps of a scenario.
    pub(super) fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for host in 0..self.hosts {
            steps.extend(self.host_steps(HostIndex(host)));
        }
        if let Some(event) = self.incident.counter_event() {
            steps.push(step(self.begin, event));
            steps.push(step(
                self.end,
                ScenarioEvent::SetCounterMode(CounterMode::Normal),
            ));
        }
        if self.incident == Incident::LimitersRestart {
            for limiter in (0..self.limiters).map(LimiterIndex::from_usize) {
                let at = self.begin + Nanos::from(limiter.0) * LIMITER_INTERVAL;
                steps.push(step(at, ScenarioEvent::KillLimiter(limiter)));
                let restart = at + LIMITER_RESTART_TIME;
                steps.push(step(restart, ScenarioEvent::StartLimiter(limiter)));
            }
        }
        steps
    }

    fn host_steps(&self, host: HostIndex) -> Vec<Step> {
        let staggered = self.begin + host.0 as Nanos * HOST_INTERVAL;
        match self.incident {
            Incident::HostsVanish => vec![
                step(self.begin, ScenarioEvent::IsolateHost(host)),
                step(self.end, ScenarioEvent::StartHost(host)),
            ],
            Incident::HostsRestart => vec![
                step(staggered, ScenarioEvent::KillHost(host)),
                step(
                    staggered + HOST_RESTART_TIME,
                    ScenarioEvent::StartHost(host),
                ),
            ],
            Incident::SlowHosts => vec![
                step(
                    self.begin,
                    ScenarioEvent::SetHostSpeed {
                        host,
                        speed: SLOW_HOST_SPEED,
                    },
                ),
                step(self.end, ScenarioEvent::SetHostSpeed { host, speed: 1.0 }),
            ],
            Incident::Drains => vec![
                step(staggered, ScenarioEvent::DrainHost(host)),
                step(staggered + DRAIN_TIME, ScenarioEvent::StartHost(host)),
            ],
            _ => Vec::new(),
        }
    }
}
