//! What a deployment would have served under full sight: one queue, exact quotas, hosts as they are and will be.

use quartzcleat_decision::api::{Nanos, Settings};
use quartzcleat_simulation::scenario::{ClientRequest, Scenario, ScenarioEvent};
use std::collections::BTreeMap;

/// An exact quota: it refills at the plan's rate and holds its burst.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    left: f64,
    at: Nanos,
}

/// Exact quotas of all partners.
#[derive(Clone, Debug, Default)]
pub struct Quotas(BTreeMap<usize, Store>);

impl Quotas {
    /// Takes units out of a partner's quota at a moment, if it holds them.
    pub fn take(
        &mut self,
        set: &Settings,
        (partner, plan): (usize, u32),
        units: f64,
        now: Nanos,
    ) -> bool {
        let plan = &set.plans[plan as usize];
        let store = self.0.entry(partner).or_insert(Store {
            left: plan.burst,
            at: now,
        });
        store.left = (store.left + plan.rate * (now - store.at) as f64 / 1e9).min(plan.burst);
        store.at = now;
        let holds = store.left >= units - 1e-9;
        store.left -= if holds { units } else { 0.0 };
        holds
    }
}

/// What an answer is worth.
pub fn priority_weight(set: &Settings, class: usize, plan: u32, elapsed: Nanos) -> f64 {
    let (class, plan) = (&set.classes[class], &set.plans[plan as usize]);
    let in_time = if elapsed <= class.latency_objective {
        1.0
    } else {
        class.late_weight
    };
    class.priority_weight * plan.weight_factor * in_time
}

/// When a host is up and how fast it goes then: from, to, speed, start of its process (0: long ago).
type Spells = Vec<(Nanos, Nanos, f64, Nanos)>;

fn spells(scenario: &Scenario, host: usize) -> Spells {
    let mut changes: Vec<(Nanos, &ScenarioEvent)> = scenario
        .steps
        .iter()
        .filter(|step| {
            matches!(&step.event, ScenarioEvent::KillHost(n) | ScenarioEvent::IsolateHost(n) | ScenarioEvent::StartHost(n)
                | ScenarioEvent::DrainHost(n) | ScenarioEvent::SetHostSpeed { host: n, .. } if *n == host)
        })
        .map(|step| (step.moments[0], &step.event))
        .collect();
    changes.sort_by_key(|(at, _)| *at);
    let (mut spells, mut now) = (Vec::new(), Some((0, scenario.hosts[host].speed, 0)));
    for (at, change) in changes {
        if let Some((from, speed, started)) = now {
            spells.push((from, at, speed, started));
        }
        now = match (change, now) {
            (ScenarioEvent::StartHost(_), _) => Some((at, scenario.hosts[host].speed, at)),
            (ScenarioEvent::SetHostSpeed { speed, .. }, Some((_, _, started))) => {
                Some((at, *speed, started))
            }
            _ => None,
        };
    }
    if let Some((from, speed, started)) = now {
        spells.push((from, Nanos::MAX, speed, started));
    }
    spells
}

/// The worth served by sending each errand's first request, in their order, to where it ends first, if that is in
/// time; of some least worths for the work the best is taken.
pub fn served(scenario: &Scenario) -> f64 {
    let asks: Vec<(Nanos, &ClientRequest)> = scenario
        .steps
        .iter()
        .filter_map(|step| match &step.event {
            ScenarioEvent::Request(ask) => Some((step.moments[0], ask)),
            _ => None,
        })
        .collect();
    let density = |ask: &ClientRequest| {
        priority_weight(&scenario.ground_truth, ask.class, ask.plan, 0)
            / scenario.work[ask.class] as f64
    };
    let mut densities: Vec<f64> = asks.iter().map(|(_, ask)| density(ask)).collect();
    densities.sort_by(f64::total_cmp);
    let at = |part: usize| {
        densities
            .get(densities.len() * part / 8)
            .copied()
            .unwrap_or(0.0)
    };
    let least: Vec<f64> = std::iter::once(0.0).chain((1..8).map(at)).collect();
    least
        .iter()
        .map(|least| one_pass(scenario, &asks, |ask| density(ask) >= *least))
        .fold(0.0, f64::max)
}

fn one_pass(
    scenario: &Scenario,
    asks: &[(Nanos, &ClientRequest)],
    wanted: impl Fn(&ClientRequest) -> bool,
) -> f64 {
    let set = &scenario.ground_truth;
    let spells: Vec<Spells> = (0..scenario.hosts.len())
        .map(|host| spells(scenario, host))
        .collect();
    let mut free: Vec<Vec<Nanos>> = scenario
        .hosts
        .iter()
        .map(|node| vec![0; node.cores as usize])
        .collect();
    let (mut quotas, mut sum) = (Quotas::default(), 0.0);
    for (now, ask) in asks.iter().filter(|(_, ask)| wanted(ask)) {
        let mut best: Option<(Nanos, usize, usize)> = None;
        for (host, cores) in free.iter().enumerate() {
            let Some((core, idle)) = cores.iter().enumerate().min_by_key(|(_, at)| **at) else {
                continue;
            };
            for (from, to, speed, started) in &spells[host] {
                let begin = (*idle).max(*now).max(*from);
                let age =
                    (begin - (*started).min(begin)) as f64 / set.slow_start_duration.max(1) as f64;
                let cold = *started > 0 && age < 1.0;
                let warmth = if cold {
                    set.slow_start_floor + (1.0 - set.slow_start_floor) * age
                } else {
                    1.0
                };
                let end = begin + (scenario.work[ask.class] as f64 / (speed * warmth)) as Nanos;
                if end < *to && best.is_none_or(|(least, ..)| end < least) {
                    best = Some((end, host, core));
                }
            }
        }
        let Some((end, host, core)) = best else {
            continue;
        };
        let priority_weight = priority_weight(set, ask.class, ask.plan, end - now);
        if end - now > ask.timeout || priority_weight <= 0.0 {
            continue;
        }
        let plan = &set.plans[ask.plan as usize];
        let inside = quotas.take(set, (ask.partner, ask.plan), ask.units, *now);
        let part = if inside {
            1.0
        } else {
            plan.over_quota_weight - plan.over_quota_cost
        };
        if part > 0.0 {
            sum += priority_weight * part;
            free[host][core] = end;
        }
    }
    sum
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzcleat_decision::api::Plan;

    #[test]
    fn a_quota_gives_its_burst_and_then_its_rate() {
        let set = Settings {
            plans: vec![Plan {
                rate: 2.0,
                burst: 3.0,
                ..Plan::default()
            }],
            ..Settings::default()
        };
        let mut quotas = Quotas::default();
        let taken: Vec<bool> = (0..8)
            .map(|quarter| quotas.take(&set, (0, 0), 1.0, 1_000_000_000 + quarter * 250_000_000))
            .collect();
        assert_eq!(taken, [true, true, true, true, true, false, true, false]);
        assert!(
            quotas.take(&set, (1, 0), 3.0, 0),
            "another partner's is full"
        );
    }

    #[test]
    fn full_sight_serves_all_that_fits_and_no_more_than_is_asked() {
        for seed in 1..=3 {
            let scenario = crate::deployments::draw::draw(seed).scenario;
            let asked: f64 = scenario
                .steps
                .iter()
                .filter_map(|step| match &step.event {
                    ScenarioEvent::Request(ask) => Some(priority_weight(
                        &scenario.ground_truth,
                        ask.class,
                        ask.plan,
                        0,
                    )),
                    _ => None,
                })
                .sum();
            let served = served(&scenario);
            assert!(
                served > 0.1 * asked && served <= asked,
                "seed {seed}: {served} of {asked}"
            );
            let mut idle = scenario.clone();
            idle.hosts.iter_mut().for_each(|node| node.cores *= 4);
            assert!(
                super::served(&idle) >= served,
                "seed {seed}: more cores never serve less"
            );
        }
    }
}
