//! Host selection for an attempt: scans all ready hosts for the lowest load score.

use super::host::{Host, HostRequirements};
use super::latency::FAILURE_LATENCY_SCORE;
use super::{slow_start, HostPool};
use crate::api::{Class, DedupScope, Effect, HostId, Settings, SlowStartSettings};
use crate::context::Context;

#[cfg(test)]
mod tests;

/// Exponent of the latency score: a host's share of the attempts is divided by this power of its score. The score
/// is first multiplied by the zone's once more, as a zone has more samples than a host.
const LATENCY_EXPONENT: i32 = 2;

/// Ready host that is considered for an attempt.
struct Candidate<'a> {
    host: &'a Host,
    /// Fraction of the full capacity, in 0..=1; below one while the host is in slow start.
    slow_start_progress: f64,
    /// Relative selection weight: the configured weight times the slow-start progress.
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
    /// Returns the host for a request's next attempt: the one with the lowest load for its speed, with a
    /// preference for the limiter's own zone. Returns `None` if no host that meets the requirements has
    /// capacity.
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
        let mut lowest_score = f64::INFINITY;
        let mut selected = None;
        for candidate in &candidates {
            let is_sampled = slow_start_host == Some(candidate.id());
            let is_excluded = candidate.is_in_slow_start() && !is_sampled;
            if !is_in_dedup_scope(candidate.host, requirements, class)
                || is_excluded
                || candidate.host.is_full()
            {
                continue;
            }
            let load = self.load(candidate, requirements, context);
            // A sampled host in slow start is always selected; if compared by load, it hardly ever would be.
            let score = if candidate.is_in_slow_start() {
                0.0
            } else {
                load
            };
            if selected.is_none() || score < lowest_score {
                lowest_score = score;
                selected = Some(candidate.id());
            }
        }
        selected
    }

    /// Returns the estimated load of a host relative to its speed and weight.
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
            + estimated_attempts_of_other_limiters(context)
            + cross_zone_attempts(host, context.settings());
        attempts * (latency_score * zone_score).powi(LATENCY_EXPONENT) / candidate.weight
    }
}

/// Returns the host in slow start that an attempt may be sent to, chosen by a random number in 0..1. Each
/// such host gets a fraction of the requests equal to its share of the total capacity, reduced by a margin
/// for random variation. If hosts in slow start were selected by load, many limiters would each find the same
/// host idle and overload it together.
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

/// Returns whether the deduplication scope of the request allows a host: if an earlier attempt may have run,
/// the host must drop duplicates of that attempt.
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

/// Returns the number of other limiters as a fraction of all limiters, in 0..1.
fn other_limiters_fraction(settings: &Settings) -> f64 {
    1.0 - 1.0 / f64::from(settings.limiters.count)
}

/// Returns a random estimate of the attempts that other limiters have in flight at a host, which this limiter
/// cannot observe: exponentially distributed with a mean of `other_limiters_fraction`, plus this limiter's own
/// fraction. With the same estimate for all hosts, all limiters would select the same least loaded host.
fn estimated_attempts_of_other_limiters(context: &mut Context) -> f64 {
    let others = other_limiters_fraction(context.settings());
    1.0 - others - others * (1.0 - context.random_fraction()).ln()
}

/// Returns the attempts added to the load of a host in another zone, so that the limiter's own zone is
/// preferred.
fn cross_zone_attempts(host: &Host, settings: &Settings) -> f64 {
    if host.entry.zone == settings.limiters.own_zone {
        0.0
    } else {
        other_limiters_fraction(settings)
    }
}
