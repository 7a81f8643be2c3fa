//! Per-host state: host list entry, attempts in flight and measurements.

use super::latency::LatencyScore;
use super::limits::initial_host_limit;
use crate::api::{
    CellId, ClassIndex, HostEntry, HostId, HostState, Nanos, Outcome, RequestId, Settings, ZoneId,
};
use crate::primitives::ConcurrencyLimit;
use std::collections::BTreeSet;

/// Latency score below which a host counts as healthy in the engine's status.
const HEALTHY_LATENCY_SCORE: f64 = 2.0;

/// Host state as seen by this limiter.
#[derive(Clone, Debug)]
pub(super) struct Host {
    /// Latest entry in the host list.
    pub(super) entry: HostEntry,
    in_flight: BTreeSet<HostAttempt>,
    /// Answer times of the host's current process.
    pub(super) latency: LatencyScore,
    /// Estimated number of concurrent attempts of this limiter that the host can serve well within the latency
    /// objective.
    pub(super) concurrency_limit: ConcurrencyLimit,
    /// Failed attempts since the last success; rejections are not counted.
    pub(super) consecutive_failures: u32,
}

impl Host {
    /// Creates a host without measurements.
    pub(super) fn new(entry: HostEntry, settings: &Settings, now: Nanos) -> Self {
        Host {
            entry,
            in_flight: BTreeSet::new(),
            latency: LatencyScore::new(now),
            concurrency_limit: ConcurrencyLimit::new(initial_host_limit(settings)),
            consecutive_failures: 0,
        }
    }

    /// Applies a new entry of the host list. A different start time means a new process: the measurements of
    /// the previous process are discarded, but its attempts are still in flight.
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

    /// Marks the host as missing from a complete host list.
    pub(super) fn mark_gone(&mut self) {
        self.entry.state = HostState::Gone;
    }

    /// Returns whether new attempts may be sent to the host, which is neither draining nor gone.
    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }

    /// Returns whether the host is gone and its last attempt has ended.
    pub(super) fn is_unused(&self) -> bool {
        self.entry.state == HostState::Gone && self.in_flight.is_empty()
    }

    /// Returns whether this limiter has no attempt in flight at the host.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns whether the host's latency score is below [`HEALTHY_LATENCY_SCORE`].
    pub(super) fn is_healthy(&self) -> bool {
        self.latency.score() < HEALTHY_LATENCY_SCORE
    }

    /// Returns the number of attempts of this limiter in flight at the host.
    pub(super) fn attempts_in_flight(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Returns whether the attempts in flight have reached the host's concurrency limit. A further attempt
    /// would wait longer at the host than in this limiter's queue.
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

/// Key of an attempt in flight at a host.
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

/// Constraints on the host of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostRequirements {
    pub(crate) class: ClassIndex,
    /// Host of the previous attempt, which failed; `None` for a first attempt.
    pub(crate) avoid: Option<HostId>,
    /// Location of the earliest attempt that may have run; `None` if none has.
    pub(crate) first_run: Option<Location>,
    /// Random number in 0..1 that decides which host in slow start may be selected. Drawn once per attempt: a
    /// new number for each selection would raise the fraction of requests that hosts in slow start get.
    pub(crate) slow_start_sample: f64,
}

/// Attempt that was sent to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) host: HostId,
    pub(crate) class: ClassIndex,
    pub(crate) sent_at: Nanos,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// Time from sending the attempt to its end, or to the start of a streamed answer.
    pub(crate) elapsed: Nanos,
}
