//! One host as this limiter knows it, and an attempt at it.

use super::latency::LatencyScore;
use super::limits::initial_host_limit;
use crate::api::{
    CellId, ClassIndex, HostEntry, HostId, HostState, Nanos, Outcome, RequestId, Settings, ZoneId,
};
use crate::primitives::ConcurrencyLimit;
use std::collections::BTreeSet;

/// Hosts below this latency score count as healthy in the engine's status.
const HEALTHY_LATENCY_SCORE: f64 = 2.0;

/// One host as this limiter knows it.
#[derive(Clone, Debug)]
pub(super) struct Host {
    /// Its entry in the host list.
    pub(super) entry: HostEntry,
    in_flight: BTreeSet<HostAttempt>,
    /// Answer times of its present process.
    pub(super) latency: LatencyScore,
    /// Attempts of this limiter that the host takes at once and still answers well within the objective.
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) consecutive_failures: u32,
}

impl Host {
    /// A host without measurements.
    pub(super) fn new(entry: HostEntry, settings: &Settings, now: Nanos) -> Self {
        Host {
            entry,
            in_flight: BTreeSet::new(),
            latency: LatencyScore::new(now),
            concurrency_limit: ConcurrencyLimit::new(initial_host_limit(settings)),
            consecutive_failures: 0,
        }
    }

    /// Applies a new entry of the host list. Another start time means a new process: the measurements of the
    /// old one are void, but its attempts are still in flight.
    pub(super) fn update(&mut self, entry: HostEntry, settings: &Settings, now: Nanos) {
        if entry.started != self.entry.started {
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Host {
                in_flight,
                ..Host::new(entry.clone(), settings, now)
            };
        }
        self.entry = entry;
    }

    /// The host is not in a complete host list.
    pub(super) fn mark_gone(&mut self) {
        self.entry.state = HostState::Gone;
    }

    /// Whether new attempts may go there: not while it drains or when it is gone.
    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }

    /// Whether it is gone and its last attempt has ended.
    pub(super) fn is_unused(&self) -> bool {
        self.entry.state == HostState::Gone && self.in_flight.is_empty()
    }

    /// Whether this limiter has no attempt there.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether its measured answer times are below twice the mean.
    pub(super) fn is_healthy(&self) -> bool {
        self.latency.score() < HEALTHY_LATENCY_SCORE
    }

    /// Number of attempts of this limiter in flight.
    pub(super) fn attempts_in_flight(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Whether this limiter has as many attempts there as the host takes. A further one would wait longer there
    /// than in this limiter's queue.
    pub(super) fn is_full(&self) -> bool {
        self.attempts_in_flight() >= self.concurrency_limit.value()
    }

    pub(super) fn begin_attempt(&mut self, request: RequestId, sent_at: Nanos) {
        self.in_flight.insert(HostAttempt { sent_at, request });
    }

    pub(super) fn end_attempt(&mut self, request: RequestId, sent_at: Nanos) {
        self.in_flight.remove(&HostAttempt { sent_at, request });
    }

    pub(super) fn location(&self) -> Location {
        Location {
            cell: self.entry.cell,
            zone: self.entry.zone,
        }
    }
}

/// Identifies an attempt in flight at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HostAttempt {
    sent_at: Nanos,
    request: RequestId,
}

/// Cell and zone of a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Location {
    pub(super) cell: CellId,
    pub(super) zone: ZoneId,
}

/// What an attempt requires of a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostRequirements {
    pub(crate) class: ClassIndex,
    /// Host of the previous attempt, which failed.
    pub(crate) avoid: Option<HostId>,
    /// Location of the first attempt that may have run.
    pub(crate) first_run: Option<Location>,
    /// Random number in 0..1 that decides which host in slow start may be selected. Made once for each attempt:
    /// a new number at each search would raise the part of the requests that hosts in slow start get.
    pub(crate) slow_start_sample: f64,
}

/// An attempt that was sent to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) host: HostId,
    pub(crate) class: ClassIndex,
    pub(crate) sent_at: Nanos,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// Time from sending it to its end.
    pub(crate) elapsed: Nanos,
}
