//! The omniscient baseline of a deployment: one queue that knows the global state, with exact quotas and with hosts as they
//! are and will be.

use super::quota::{priority_weight, Charge, ExactQuotas, Subscription};
use quartzcleat_decision::api::{ClassIndex, Nanos, Settings};
use quartzcleat_invariants::HostIndex;
use quartzcleat_simulation::scenario::{ClientRequest, Scenario, ScenarioEvent};

#[cfg(test)]
mod tests;

/// The number of thresholds of weight per work that are tried.
const THRESHOLDS: usize = 8;

/// A request of the scenario and when it is sent.
#[derive(Clone, Copy)]
struct TimedRequest<'a> {
    at: Nanos,
    request: &'a ClientRequest,
}

/// A time during which a host runs at one speed.
#[derive(Clone, Copy)]
struct Uptime {
    from: Nanos,
    to: Nanos,
    speed: f64,
    /// When its process started; zero for long ago.
    started: Nanos,
}

/// The core that finishes a request first.
#[derive(Clone, Copy)]
struct Placement {
    end: Nanos,
    host: HostIndex,
    core: usize,
}

/// The value that the baseline serves: each request in its order goes to the core that finishes it first, if that is in
/// time. Requests below a threshold of weight per work are left out; the best of some thresholds counts.
pub(super) fn served_value(scenario: &Scenario) -> f64 {
    let requests: Vec<TimedRequest> = scenario
        .steps
        .iter()
        .filter_map(|step| match &step.event {
            ScenarioEvent::Request(request) => Some(TimedRequest {
                at: step.moments[0],
                request,
            }),
            _ => None,
        })
        .collect();
    thresholds(scenario, &requests)
        .iter()
        .map(|threshold| {
            let chosen = requests
                .iter()
                .filter(|timed| weight_per_work(scenario, timed.request) >= *threshold);
            Schedule::new(scenario).serve(chosen)
        })
        .fold(0.0, f64::max)
}

fn weight_per_work(scenario: &Scenario, request: &ClientRequest) -> f64 {
    priority_weight(&scenario.ground_truth, request.class, request.plan, 0)
        / scenario.work[request.class.as_usize()] as f64
}

/// Zero and the quantiles of weight per work.
fn thresholds(scenario: &Scenario, requests: &[TimedRequest]) -> Vec<f64> {
    let mut weights: Vec<f64> = requests
        .iter()
        .map(|timed| weight_per_work(scenario, timed.request))
        .collect();
    weights.sort_by(f64::total_cmp);
    let quantile = |part: usize| {
        let index = weights.len() * part / THRESHOLDS;
        weights.get(index).copied().unwrap_or(0.0)
    };
    std::iter::once(0.0)
        .chain((1..THRESHOLDS).map(quantile))
        .collect()
}

/// The uptimes of a host, from the scenario's events.
fn uptimes(scenario: &Scenario, host: HostIndex) -> Vec<Uptime> {
    let speed = scenario.hosts[host.0].speed;
    let mut uptimes = Vec::new();
    let mut current = Some(Uptime {
        from: 0,
        to: Nanos::MAX,
        speed,
        started: 0,
    });
    for (at, event) in host_events(scenario, host) {
        uptimes.extend(current.map(|uptime| Uptime { to: at, ..uptime }));
        current = match (event, current) {
            (ScenarioEvent::StartHost(_), _) => Some(Uptime {
                from: at,
                to: Nanos::MAX,
                speed,
                started: at,
            }),
            (ScenarioEvent::SetHostSpeed { speed, .. }, Some(uptime)) => Some(Uptime {
                from: at,
                speed: *speed,
                ..uptime
            }),
            _ => None,
        };
    }
    uptimes.extend(current);
    uptimes
}

/// The events that concern a host, in the order of their times.
fn host_events(scenario: &Scenario, host: HostIndex) -> Vec<(Nanos, &ScenarioEvent)> {
    let concerns_host = |event: &ScenarioEvent| {
        matches!(event, ScenarioEvent::KillHost(other) | ScenarioEvent::IsolateHost(other) | ScenarioEvent::StartHost(other)
            | ScenarioEvent::DrainHost(other) | ScenarioEvent::SetHostSpeed { host: other, .. } if *other == host)
    };
    let mut events: Vec<(Nanos, &ScenarioEvent)> = scenario
        .steps
        .iter()
        .filter(|step| concerns_host(&step.event))
        .map(|step| (step.moments[0], &step.event))
        .collect();
    events.sort_by_key(|(at, _)| *at);
    events
}

/// The baseline's schedule of all cores.
struct Schedule<'a> {
    scenario: &'a Scenario,
    settings: &'a Settings,
    /// By host.
    uptimes: Vec<Vec<Uptime>>,
    /// When each core of each host is idle again.
    idle_at: Vec<Vec<Nanos>>,
    quotas: ExactQuotas,
}

impl<'a> Schedule<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let hosts = 0..scenario.hosts.len();
        let cores = scenario.hosts.iter().map(|node| node.cores as usize);
        Schedule {
            scenario,
            settings: &scenario.ground_truth,
            uptimes: hosts
                .map(|host| uptimes(scenario, HostIndex(host)))
                .collect(),
            idle_at: cores.map(|cores| vec![0; cores]).collect(),
            quotas: ExactQuotas::default(),
        }
    }

    /// Serves requests in their order; returns their value.
    fn serve<'r>(mut self, requests: impl Iterator<Item = &'r TimedRequest<'r>>) -> f64 {
        let mut value = 0.0;
        for request in requests {
            value += self.serve_request(request);
        }
        value
    }

    /// Serves a request where that is worth it; returns its value.
    fn serve_request(&mut self, timed: &TimedRequest) -> f64 {
        let TimedRequest { at, request } = *timed;
        let Some(placement) = self.first_to_finish(at, request.class) else {
            return 0.0;
        };
        let elapsed = placement.end - at;
        let weight = priority_weight(self.settings, request.class, request.plan, elapsed);
        if elapsed > request.timeout || weight <= 0.0 {
            return 0.0;
        }
        let subscription = Subscription {
            customer: request.partner,
            plan: request.plan,
        };
        let plan = &self.settings.plans[request.plan.as_usize()];
        let charge = self
            .quotas
            .charge(self.settings, subscription, request.units, at);
        let quota_factor = match charge {
            Charge::WithinQuota => 1.0,
            Charge::BeyondQuota => plan.over_quota_weight - plan.over_quota_cost,
        };
        if quota_factor <= 0.0 {
            return 0.0;
        }
        self.idle_at[placement.host.0][placement.core] = placement.end;
        weight * quota_factor
    }

    /// The core that finishes a request of a class first.
    fn first_to_finish(&self, now: Nanos, class: ClassIndex) -> Option<Placement> {
        let mut best: Option<Placement> = None;
        for (host, cores) in self.idle_at.iter().enumerate() {
            let Some((core, idle_at)) = cores.iter().enumerate().min_by_key(|(_, at)| **at) else {
                continue;
            };
            for uptime in &self.uptimes[host] {
                let begin = (*idle_at).max(now).max(uptime.from);
                let end = begin + self.execution_time(uptime, begin, class);
                if end < uptime.to && best.is_none_or(|best| end < best.end) {
                    best = Some(Placement {
                        end,
                        host: HostIndex(host),
                        core,
                    });
                }
            }
        }
        best
    }

    /// The time that a request takes when it begins at a time, slowed down during the host's slow start.
    fn execution_time(&self, uptime: &Uptime, begin: Nanos, class: ClassIndex) -> Nanos {
        let settings = self.settings;
        let age =
            (begin - uptime.started.min(begin)) as f64 / settings.slow_start.duration.max(1) as f64;
        let is_warming_up = uptime.started > 0 && age < 1.0;
        let warmth = if is_warming_up {
            settings.slow_start.initial_capacity
                + (1.0 - settings.slow_start.initial_capacity) * age
        } else {
            1.0
        };
        (self.scenario.work[class.as_usize()] as f64 / (uptime.speed * warmth)) as Nanos
    }
}
