//! A simulated host: its cores, queue, slow start and process lifecycle.

use crate::scenario::HostSetup;
use quartzcleat_decision::api::{
    AttemptIndex, HostState, LimiterIndex, Nanos, RequestId, Settings,
};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Nanoseconds per second, the unit of work in the overload check.
const NANOS_PER_SECOND: f64 = 1e9;
/// Lower bound of the relative speed of a core, which keeps execution times finite.
pub(crate) const MIN_SPEED: f64 = 1e-3;

/// Identifies an attempt among those of all limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The limiter that sent the attempt.
    pub limiter: LimiterIndex,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt, counted from 0 within its request.
    pub attempt: AttemptIndex,
}

/// The status of a host's process and machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// The process is running.
    Running,
    /// The process is dead; connections are refused.
    Dead,
    /// The machine is unreachable; nothing comes back.
    Unreachable,
}

/// The result of the arrival of an attempt at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// The execution starts.
    Started,
    /// The attempt waits in the queue.
    Queued,
    /// The host rejects the attempt.
    Rejected,
    /// The connection is refused, because the process is dead.
    ConnectionRefused,
    /// The attempt is lost, because the machine is unreachable.
    Lost,
    /// The attempt overloads the host, which is still warming up.
    Overloads,
}

/// Work received by a host while it was warming up.
#[derive(Clone, Copy, Debug)]
struct RecentWork {
    at: Nanos,
    /// Execution time on one core of the host when warm, in seconds.
    seconds: f64,
}

/// The state of a simulated host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Whether the process is running, dead or unreachable.
    pub status: HostStatus,
    /// Whether the host is draining: it finishes its jobs and rejects new ones.
    pub draining: bool,
    /// When the process started, in nanoseconds of virtual time; 0 if it warmed up long ago.
    pub started: Nanos,
    /// Relative speed of a core; work is stated for speed 1.
    pub speed: f64,
    cores: u32,
    queue_capacity: usize,
    running: u32,
    queue: VecDeque<AttemptKey>,
    recent_work: VecDeque<RecentWork>,
}

impl Host {
    /// Creates a host as it is at the start of a run.
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

    /// Returns the fraction of its full capacity that the host has: 1 once it is warm.
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

    /// Returns how long the execution of a job with this work takes, in nanoseconds.
    #[must_use]
    pub fn execution_time(&self, work: Nanos, settings: &Settings, now: Nanos) -> Nanos {
        let speed = self.speed * self.capacity_factor(settings, now);
        (work as f64 / speed.max(MIN_SPEED)) as Nanos
    }

    /// Receives an attempt whose work is stated in nanoseconds on a core of speed 1.
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

    /// Adds this work to the recent work and returns whether the sum overloads the host while it is warming up.
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

    /// Finishes a job. Returns the queued attempt that takes over its core; `None` if the queue is empty.
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

    /// Removes an attempt from the queue; an attempt that is already executing continues.
    pub fn cancel(&mut self, attempt: AttemptKey) {
        self.queue.retain(|queued| *queued != attempt);
    }

    /// Stops the process and drops all its jobs.
    pub fn stop(&mut self, status: HostStatus) {
        self.status = status;
        self.running = 0;
        self.queue.clear();
        self.recent_work.clear();
    }

    /// Starts a new process, which begins to warm up.
    pub fn start(&mut self, now: Nanos) {
        self.stop(HostStatus::Running);
        self.started = now;
        self.draining = false;
    }
}
