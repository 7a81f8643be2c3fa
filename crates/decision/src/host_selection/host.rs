//! Data of host selection: what a limiter knows of its hosts, and what an attempt requires of one.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One host as this limiter knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Host {
    pub(crate) entry: HostEntry,
    pub(crate) in_flight: BTreeSet<HostAttempt>,
    /// Mean answer time as a multiple of the class's mean.
    pub(crate) slowness: f64,
    /// Number of answers behind `slowness`, which fades with time.
    pub(crate) evidence: f64,
    /// Time of the last answer.
    pub(crate) measured_at: Nanos,
    /// Attempts of this limiter that the host takes at once and still answers well within the objective.
    pub(crate) concurrency_limit: f64,
    pub(crate) consecutive_failures: u32,
}

/// An attempt in flight at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HostAttempt {
    pub(crate) sent_at: Nanos,
    pub(crate) request: RequestId,
}

/// Cell and zone of a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Location {
    pub(crate) cell: CellId,
    pub(crate) zone: ZoneId,
}

/// Answer times of a class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassLatency {
    /// Mean in seconds.
    pub(crate) mean: f64,
    /// Number of answers in the mean.
    pub(crate) answers: f64,
}

/// Answer times of a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneSlowness {
    /// Mean answer time as a multiple of the class's mean; failures count as slow.
    pub(crate) value: f64,
    /// Time of the last answer.
    pub(crate) measured_at: Nanos,
}

/// All hosts as this limiter knows them.
#[derive(Debug, Default)]
pub(crate) struct HostPool {
    pub(crate) settings: Arc<Settings>,
    pub(crate) now: Nanos,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// Attempts in flight at all hosts.
    pub(crate) in_flight: usize,
    /// Answer times by class index.
    pub(crate) class_latency: Vec<ClassLatency>,
    pub(crate) zone_slowness: BTreeMap<ZoneId, ZoneSlowness>,
    /// Part of the requests that is admitted.
    pub(crate) admission_ratio: f64,
    /// Mean answer time as a part of the latency objective.
    pub(crate) mean_lateness: f64,
    /// Time of the last answer that `mean_lateness` contains.
    pub(crate) lateness_at: Nanos,
    /// Mean answer time of the successful attempts alone, as a part of the objective.
    pub(crate) success_lateness: f64,
    /// Attempts that this limiter may have in flight for each host at full capacity.
    pub(crate) concurrency_limit: f64,
}

/// What an attempt requires of a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostRequirements {
    pub(crate) class: usize,
    /// Host of the previous attempt.
    pub(crate) avoid: Option<HostId>,
    /// Location of the first attempt that may have run.
    pub(crate) first_run: Option<Location>,
    /// Random number in 0..1 that decides which host in slow start may be selected. Drawn once for each
    /// attempt, as a new number at each search would raise the part of the hosts in slow start.
    pub(crate) slow_start_draw: f64,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) host: HostId,
    pub(crate) sent_at: Nanos,
    pub(crate) class: usize,
    pub(crate) customer: CustomerId,
    /// Its answer has begun: the host's work is done, while the customer's concurrency cap still counts it.
    pub(crate) stream_started: bool,
}

/// Whether a measured time is that of an answer or of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Measurement {
    Answer,
    Failure,
}

/// A host that is ready.
pub(super) struct Candidate<'a> {
    pub(super) host: &'a Host,
    pub(super) slow_start_progress: f64,
    /// Relative selection weight: configured weight scaled by slow-start progress.
    pub(super) weight: f64,
}

impl Candidate<'_> {
    pub(super) fn id(&self) -> HostId {
        self.host.entry.host
    }

    pub(super) fn is_in_slow_start(&self) -> bool {
        self.slow_start_progress < 1.0
    }
}
