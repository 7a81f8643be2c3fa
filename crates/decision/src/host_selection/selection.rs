//! Selection of the host for an attempt.

use super::latency::{FAILURE_SLOWNESS, ZONE_EVIDENCE};
use super::{Candidate, Host, HostPool, HostRequirements};
use crate::api::*;

/// Power of the measured slowness that divides a host's part of the attempts. A zone's slowness counts once
/// more, as a zone has more answers.
const SLOWNESS_EXPONENT: i32 = 2;

impl HostPool {
    /// Selects the host for a request's next attempt: the least loaded for its speed, the limiter's zone
    /// first.
    pub(crate) fn select_host(
        &self,
        requirements: &HostRequirements,
        random: &mut fastrand::Rng,
    ) -> Option<HostId> {
        let ready = self.hosts.values().filter(|host| host.is_ready());
        let candidates: Vec<_> = ready.map(|host| self.candidate(host)).collect();
        let slow_start_host = self.slow_start_host(requirements.slow_start_draw, &candidates);
        let mut least_score = f64::INFINITY;
        let mut selected = None;
        for candidate in &candidates {
            let not_drawn = candidate.is_in_slow_start() && slow_start_host != Some(candidate.id());
            // A host that is behind gets no more than its limit: what exceeds it would wait longer there.
            let is_full = candidate.host.in_flight.len() as f64 >= candidate.host.concurrency_limit;
            if !self.is_in_group(candidate.host, requirements) || not_drawn || is_full {
                continue;
            }
            let load = self.load(candidate, requirements, random);
            // A host in slow start that was drawn is selected: compared by load, it hardly ever would be.
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

    fn candidate<'a>(&self, host: &'a Host) -> Candidate<'a> {
        let slow_start_progress = self.slow_start_progress(host);
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

    /// The host in slow start that this attempt may go to. Each gets a part of the requests equal to its part
    /// of the total capacity, less a margin for chance. Selected by load, many limiters would each find such
    /// a host idle and overload it together.
    fn slow_start_host(&self, draw: f64, candidates: &[Candidate]) -> Option<HostId> {
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let margin = 1.0 - 1.0 / self.settings.slow_start.overload_factor.max(1.0);
        let mut remaining = draw * total;
        for candidate in candidates {
            remaining -= if candidate.is_in_slow_start() {
                candidate.weight * margin
            } else {
                0.0
            };
            if remaining < 0.0 {
                return Some(candidate.id());
            }
        }
        None
    }

    /// Whether a host drops duplicates of the attempt that may have run.
    fn is_in_group(&self, host: &Host, requirements: &HostRequirements) -> bool {
        let class = &self.settings.classes[requirements.class];
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

    /// Estimated load of a host relative to its speed and weight. The attempts of other limiters are unknown
    /// and drawn at random, as otherwise all limiters would find the same host least loaded.
    fn load(
        &self,
        candidate: &Candidate,
        requirements: &HostRequirements,
        random: &mut fastrand::Rng,
    ) -> f64 {
        let host = candidate.host;
        let zone = self.faded_zone_slowness(host.entry.zone);
        let evidence = host.evidence * self.remaining_evidence(host.measured_at);
        let slowness = if requirements.avoid == Some(candidate.id()) {
            FAILURE_SLOWNESS * zone
        } else {
            (evidence * host.slowness + ZONE_EVIDENCE * zone) / (evidence + ZONE_EVIDENCE)
        };
        let others = 1.0 - 1.0 / f64::from(self.settings.limiters.count);
        let crossing = if host.entry.zone == self.settings.limiters.own_zone {
            0.0
        } else {
            others
        };
        let estimate = 1.0 - others - others * (1.0 - random.f64()).ln();
        let attempts = host.in_flight.len() as f64 + estimate + crossing;
        attempts * (slowness * zone).powi(SLOWNESS_EXPONENT) / candidate.weight
    }
}

impl Host {
    /// Whether new attempts may go there: not while it drains or when it is gone.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }
}
