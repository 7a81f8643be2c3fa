//! A host: cores, a line, coldness, keys that it remembers, and its ends.

use crate::scenario::NodeSetup;
use quartzcleat_decision::api::{Nanos, RequestId, Settings};
use std::collections::VecDeque;

/// One attempt as a host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Job {
    /// The limiter it comes from.
    pub limiter: usize,
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: u32,
}

/// Whether a host's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It runs.
    Up,
    /// Its process is dead: connections are refused.
    Dead,
    /// Its machine has vanished: nothing comes back.
    Vanished,
}

/// What becomes of a job that reaches a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reached {
    /// It is begun.
    Begun,
    /// It waits.
    Waits,
    /// It is turned away.
    Busy,
    /// No connection.
    Refused,
    /// Nothing.
    Nothing,
    /// It tips the host, which is cold.
    Tips,
}

/// A host as it stands.
#[derive(Clone, Debug)]
pub struct Node {
    /// Whether it runs.
    pub life: Life,
    /// It finishes what it has and turns new work away.
    pub draining: bool,
    /// When the process started; zero for long ago.
    pub started: Nanos,
    /// How fast each core goes; 1 is the yardstick.
    pub speed: f64,
    cores: u32,
    slots: usize,
    running: u32,
    line: VecDeque<Job>,
    /// What reached it lately while cold: when, and its work in seconds.
    recent: VecDeque<(Nanos, f64)>,
}

impl Node {
    /// A host at the beginning of a play.
    pub fn new(setup: &NodeSetup, start: Nanos) -> Self {
        Node {
            life: if setup.absent { Life::Dead } else { Life::Up },
            draining: setup.state == quartzcleat_decision::api::HostState::Draining,
            started: setup.age.map_or(0, |age| start.saturating_sub(age).max(1)),
            speed: setup.speed,
            cores: setup.cores,
            slots: setup.slots,
            running: 0,
            line: VecDeque::new(),
            recent: VecDeque::new(),
        }
    }

    /// The part of its capacity that it has.
    pub fn warmth(&self, settings: &Settings, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0
            || settings.slow_start_duration == 0
            || age >= settings.slow_start_duration
        {
            return 1.0;
        }
        settings.slow_start_floor
            + (1.0 - settings.slow_start_floor) * age as f64 / settings.slow_start_duration as f64
    }

    /// How long a job of so much work takes from its beginning.
    pub fn takes(&self, work: Nanos, settings: &Settings, now: Nanos) -> Nanos {
        (work as f64 / (self.speed * self.warmth(settings, now)).max(1e-3)) as Nanos
    }

    /// A job of so much work arrives.
    pub fn reach(&mut self, job: Job, work: Nanos, settings: &Settings, now: Nanos) -> Reached {
        match self.life {
            Life::Dead => return Reached::Refused,
            Life::Vanished => return Reached::Nothing,
            Life::Up => {}
        }
        if self.draining {
            return Reached::Busy;
        }
        let warmth = self.warmth(settings, now);
        if warmth < 1.0 && settings.overload_factor > 0.0 && settings.overload_duration > 0 {
            self.recent.push_back((now, work as f64 / 1e9 / self.speed));
            while self
                .recent
                .front()
                .is_some_and(|(at, _)| at + settings.overload_duration <= now)
            {
                self.recent.pop_front();
            }
            let sent: f64 = self.recent.iter().map(|(_, work)| work).sum();
            let able = f64::from(self.cores) * warmth * settings.overload_duration as f64 / 1e9;
            if sent > settings.overload_factor * able {
                return Reached::Tips;
            }
        } else {
            self.recent.clear();
        }
        if self.running < self.cores {
            self.running += 1;
            Reached::Begun
        } else if self.line.len() < self.slots {
            self.line.push_back(job);
            Reached::Waits
        } else {
            Reached::Busy
        }
    }

    /// A job has come to its end; the next that is begun.
    pub fn proceed(&mut self) -> Option<Job> {
        if self.life != Life::Up {
            return None;
        }
        let next = self.line.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// A waiting job is dropped; one that runs goes on.
    pub fn give_up(&mut self, job: Job) {
        self.line.retain(|waiting| *waiting != job);
    }

    /// Its process ends.
    pub fn end(&mut self, life: Life) {
        (self.life, self.running) = (life, 0);
        self.line.clear();
        self.recent.clear();
    }

    /// A process starts, cold.
    pub fn start(&mut self, now: Nanos) {
        self.end(Life::Up);
        (self.started, self.draining) = (now, false);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    fn settings() -> Settings {
        let (slow_start_floor, slow_start_duration, overload_factor, overload_duration) =
            (0.15, 18_000 * MS, 3.0, 1_500 * MS);
        Settings {
            slow_start_floor,
            slow_start_duration,
            overload_factor,
            overload_duration,
            ..Settings::default()
        }
    }

    fn job(number: u64) -> Job {
        Job {
            limiter: 0,
            request: RequestId(number),
            attempt: 0,
        }
    }

    #[test]
    fn jobs_take_cores_then_slots_then_are_turned_away() {
        let setup = NodeSetup {
            cores: 1,
            slots: 1,
            ..NodeSetup::default()
        };
        let (mut node, set) = (Node::new(&setup, MS), settings());
        let ends: Vec<_> = (0..3)
            .map(|n| node.reach(job(n), 100 * MS, &set, MS))
            .collect();
        assert_eq!(ends, [Reached::Begun, Reached::Waits, Reached::Busy]);
        assert_eq!((node.proceed(), node.proceed()), (Some(job(1)), None));
        node.end(Life::Dead);
        assert_eq!(node.reach(job(5), MS, &set, MS), Reached::Refused);
    }

    #[test]
    fn a_cold_host_is_slow_and_tips() {
        let setup = NodeSetup {
            age: Some(0),
            ..NodeSetup::default()
        };
        let (mut node, set) = (Node::new(&setup, MS), settings());
        assert_eq!(node.takes(150 * MS, &set, MS), 1_000 * MS);
        // It can do 3 x 0.15 x 1.5 s = 0.675 s of work in the time, and tips past three times that.
        let ends: Vec<_> = (0..25)
            .map(|n| node.reach(job(n), 100 * MS, &set, MS))
            .collect();
        assert_eq!(ends.iter().position(|end| *end == Reached::Tips), Some(20));
        let (mut warm, later) = (Node::new(&setup, MS), 20_000 * MS);
        assert!((0..25).all(|n| warm.reach(job(n), 100 * MS, &set, later) != Reached::Tips));
    }
}
