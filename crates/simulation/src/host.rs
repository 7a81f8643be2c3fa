//! A host: its cores, its queue, its slow start, and the end of its process.

use crate::scenario::HostSetup;
use quartzcleat_decision::api::{
    AttemptIndex, HostState, LimiterIndex, Nanos, RequestId, Settings,
};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Nanoseconds in a second, the unit of work in the overload check.
const NANOS_PER_SECOND: f64 = 1e9;
/// The lowest effective speed of a core, so that every job ends.
pub(crate) const MIN_SPEED: f64 = 1e-3;

/// The identity of an attempt at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The limiter that sent it.
    pub limiter: LimiterIndex,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptIndex,
}

/// Whether a host's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// It runs.
    Running,
    /// Its process is dead: connections are refused.
    Dead,
    /// Its machine is unreachable: nothing comes back.
    Unreachable,
}

/// The result of the arrival of an attempt at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// Its execution starts.
    Started,
    /// It waits in the queue.
    Queued,
    /// It is rejected.
    Rejected,
    /// Its connection is refused.
    ConnectionRefused,
    /// It is lost.
    Lost,
    /// It overloads the host, which is warming up.
    Overloads,
}

/// Work that reached a host while it was warming up.
#[derive(Clone, Copy, Debug)]
struct RecentWork {
    at: Nanos,
    seconds: f64,
}

/// A host's state.
#[derive(Clone, Debug)]
pub struct Host {
    /// Whether it runs.
    pub status: HostStatus,
    /// It finishes the jobs that it has and rejects new ones.
    pub draining: bool,
    /// When the process started; zero where it has long been warm.
    pub started: Nanos,
    /// The relative speed of a core.
    pub speed: f64,
    cores: u32,
    queue_capacity: usize,
    running: u32,
    queue: VecDeque<AttemptKey>,
    recent_work: VecDeque<RecentWork>,
}

impl Host {
    /// A host at the start of a run.
    #[must_use]
    pub fn new(setup: &HostSetup, start: Nanos) -> Self {
        Host {
            status: if setup.absent {
                HostStatus::Dead
            } else {
                HostStatus::Running
            },
            draining: setup.state == HostState::Draining,
            started: setup
                .uptime
                .map_or(0, |uptime| start.saturating_sub(uptime).max(1)),
            speed: setup.speed,
            cores: setup.cores,
            queue_capacity: setup.queue_capacity,
            running: 0,
            queue: VecDeque::new(),
            recent_work: VecDeque::new(),
        }
    }

    /// The part of its capacity that the host has: 1 once it is warm.
    #[must_use]
    pub fn capacity_factor(&self, settings: &Settings, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.started);
        let is_warm = self.started == 0
            || settings.slow_start.duration == 0
            || age >= settings.slow_start.duration;
        if is_warm {
            return 1.0;
        }
        settings.slow_start.initial_capacity
            + (1.0 - settings.slow_start.initial_capacity) * age as f64
                / settings.slow_start.duration as f64
    }

    /// How long the execution of a job with this work takes.
    #[must_use]
    pub fn execution_time(&self, work: Nanos, settings: &Settings, now: Nanos) -> Nanos {
        let speed = self.speed * self.capacity_factor(settings, now);
        (work as f64 / speed.max(MIN_SPEED)) as Nanos
    }

    /// Receives an attempt with this work.
    pub fn receive(
        &mut self,
        attempt: AttemptKey,
        work: Nanos,
        settings: &Settings,
        now: Nanos,
    ) -> Arrival {
        match self.status {
            HostStatus::Dead => return Arrival::ConnectionRefused,
            HostStatus::Unreachable => return Arrival::Lost,
            HostStatus::Running => {}
        }
        if self.draining {
            return Arrival::Rejected;
        }
        if self.is_overloaded_by(work, settings, now) {
            return Arrival::Overloads;
        }
        if self.running < self.cores {
            self.running += 1;
            Arrival::Started
        } else if self.queue.len() < self.queue_capacity {
            self.queue.push_back(attempt);
            Arrival::Queued
        } else {
            Arrival::Rejected
        }
    }

    /// Whether the work that reached the host lately, with this one, is more than it survives while it warms up.
    fn is_overloaded_by(&mut self, work: Nanos, settings: &Settings, now: Nanos) -> bool {
        let capacity_factor = self.capacity_factor(settings, now);
        let can_overload = capacity_factor < 1.0
            && settings.slow_start.overload_factor > 0.0
            && settings.slow_start.overload_duration > 0;
        if !can_overload {
            self.recent_work.clear();
            return false;
        }
        self.recent_work.push_back(RecentWork {
            at: now,
            seconds: work as f64 / NANOS_PER_SECOND / self.speed,
        });
        let is_expired =
            |recent: &RecentWork| recent.at + settings.slow_start.overload_duration <= now;
        while self.recent_work.front().is_some_and(is_expired) {
            self.recent_work.pop_front();
        }
        let received: f64 = self.recent_work.iter().map(|recent| recent.seconds).sum();
        let capacity =
            f64::from(self.cores) * capacity_factor * settings.slow_start.overload_duration as f64
                / NANOS_PER_SECOND;
        received > settings.slow_start.overload_factor * capacity
    }

    /// Ends a job. Returns the queued attempt whose execution starts in its place.
    pub fn finish_job(&mut self) -> Option<AttemptKey> {
        if self.status != HostStatus::Running {
            return None;
        }
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Takes an attempt out of the queue; one that is being executed goes on.
    pub fn cancel(&mut self, attempt: AttemptKey) {
        self.queue.retain(|queued| *queued != attempt);
    }

    /// Ends the process, with all its jobs.
    pub fn stop(&mut self, status: HostStatus) {
        self.status = status;
        self.running = 0;
        self.queue.clear();
        self.recent_work.clear();
    }

    /// Starts a new process, which warms up.
    pub fn start(&mut self, now: Nanos) {
        self.stop(HostStatus::Running);
        self.started = now;
        self.draining = false;
    }
}
