//! Selection of the host for an attempt: a scan of all ready hosts for the lowest load score.

use super::host::{Host, HostRequirements};
use super::latency::FAILURE_LATENCY_SCORE;
use super::{slow_start, HostPool};
use crate::api::{Class, DedupScope, Effect, HostId, Settings, SlowStartSettings};
use crate::context::Context;

#[cfg(test)]
mod tests;

/// Power of the latency score that divides a host's part of the attempts. A zone's score counts once more, as
/// a zone has more answers.
const LATENCY_EXPONENT: i32 = 2;

/// A ready host.
struct Candidate<'a> {
    host: &'a Host,
    /// In 0..=1; below one: the host is in slow start.
    slow_start_progress: f64,
    /// Relative selection weight: configured weight scaled by slow-start progress.
    weight: f64,
}

impl<'a> Candidate<'a> {
    fn new(host: &'a Host, context: &Context) -> Self {
        let slow_start = &context.settings().slow_start;
        let slow_start_progress = slow_start::progress(host, slow_start, context.now());
        let configured = if host.entry.weight > 0.0 {
            host.entry.weight
        } else {
            1.0
        };
        Candidate {
            host,
            slow_start_progress,
            weight: slow_start_progress * configured,
        }
    }

    fn id(&self) -> HostId {
        self.host.entry.host
    }

    fn is_in_slow_start(&self) -> bool {
        self.slow_start_progress < 1.0
    }
}

impl HostPool {
    /// Selects the host for a request's next attempt: the least loaded for its speed, the limiter's zone first.
    /// `None`: no host that meets the requirements has capacity.
    pub(crate) fn select_host(
        &self,
        requirements: &HostRequirements,
        context: &mut Context,
    ) -> Option<HostId> {
        let candidates: Vec<_> = self
            .ready_hosts()
            .map(|host| Candidate::new(host, context))
            .collect();
        let sample = requirements.slow_start_sample;
        let slow_start_host =
            sample_slow_start_host(sample, &candidates, &context.settings().slow_start);
        let class = context.class(requirements.class);
        let mut least_score = f64::INFINITY;
        let mut selected = None;
        for candidate in &candidates {
            let is_sampled = slow_start_host == Some(candidate.id());
            let is_left_out = candidate.is_in_slow_start() && !is_sampled;
            if !is_in_dedup_scope(candidate.host, requirements, class)
                || is_left_out
                || candidate.host.is_full()
            {
                continue;
            }
            let load = self.load(candidate, requirements, context);
            // A host in slow start that was sampled is selected: compared by load, it hardly ever would be.
            let score = if candidate.is_in_slow_start() {
                0.0
            } else {
                load
            };
            if selected.is_none() || score < least_score {
                least_score = score;
                selected = Some(candidate.id());
            }
        }
        selected
    }

    /// Estimated load of a host relative to its speed and weight.
    fn load(
        &self,
        candidate: &Candidate,
        requirements: &HostRequirements,
        context: &mut Context,
    ) -> f64 {
        let host = candidate.host;
        let zone_score = self.zone_latencies.score(host.entry.zone, context.now());
        let latency_score = if requirements.avoid == Some(candidate.id()) {
            FAILURE_LATENCY_SCORE * zone_score
        } else {
            host.latency.mixed_with_zone(zone_score, context.now())
        };
        let attempts = host.attempts_in_flight()
            + estimated_attempts_of_others(context)
            + cross_zone_attempts(host, context.settings());
        attempts * (latency_score * zone_score).powi(LATENCY_EXPONENT) / candidate.weight
    }
}

/// The host in slow start that an attempt may go to, by a random number in 0..1. Each gets a part of the
/// requests equal to its part of the total capacity, less a margin for chance. Selected by load, many limiters
/// would each find such a host idle and overload it together.
fn sample_slow_start_host(
    random_sample: f64,
    candidates: &[Candidate],
    settings: &SlowStartSettings,
) -> Option<HostId> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let margin = 1.0 - 1.0 / settings.overload_factor.max(1.0);
    let mut remaining = random_sample * total;
    for candidate in candidates {
        if candidate.is_in_slow_start() {
            remaining -= candidate.weight * margin;
        }
        if remaining < 0.0 {
            return Some(candidate.id());
        }
    }
    None
}

/// Whether a host drops duplicates of the attempt that may have run.
fn is_in_dedup_scope(host: &Host, requirements: &HostRequirements, class: &Class) -> bool {
    match (requirements.first_run, class.effect, class.dedup_scope) {
        (Some(location), Effect::IdempotentWithKey, DedupScope::Cell) => {
            host.entry.cell == location.cell
        }
        (Some(location), Effect::IdempotentWithKey, DedupScope::Zone) => {
            host.entry.zone == location.zone
        }
        _ => true,
    }
}

/// Part of the limiters that are others.
fn part_of_others(settings: &Settings) -> f64 {
    1.0 - 1.0 / f64::from(settings.limiters.count)
}

/// A random estimate of the attempts that other limiters have in flight at a host, which this one does not
/// know: exponentially distributed with a mean of `part_of_others`, plus this limiter's own part. With the same
/// estimate for all hosts, all limiters would find the same host least loaded.
fn estimated_attempts_of_others(context: &mut Context) -> f64 {
    let others = part_of_others(context.settings());
    1.0 - others - others * (1.0 - context.random_fraction()).ln()
}

/// Attempts that a host in another zone counts as having more, so that the limiter's own zone comes first.
fn cross_zone_attempts(host: &Host, settings: &Settings) -> f64 {
    if host.entry.zone == settings.limiters.own_zone {
        0.0
    } else {
        part_of_others(settings)
    }
}
