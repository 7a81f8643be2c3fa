//! Parsing and validation of the section `lease`.

use super::limiters::read_limiters;
use super::task::read_task;
use super::testing::{read_clock_fault, read_scheduled_crash};
use super::{ClockFault, LeaseConfig, LeaseConfigError, ScheduledCrash, Task};
use crate::fault::Faults;
use crate::quantity;
use crate::reader::{list, text, Alias, Reader};
use crate::tree::Node;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// Accepted lease durations. A lease shorter than 100 ms expires before its renewal succeeds on a busy machine. After a
/// holder fails, its task has no holder for up to the lease duration, so the upper limit bounds that outage.
const DURATION_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(600);
const DEFAULT_DURATION: Duration = Duration::from_secs(3);
const DRIFT_RANGE: RangeInclusive<f64> = 0.0..=0.2;
const DEFAULT_DRIFT: f64 = 0.01;

/// The former names of the section's keys.
const ALIASES: &[Alias] = &[
    Alias::new("me", "limiter"),
    Alias::new("length", "duration"),
    Alias::new("voters", "acceptors"),
    Alias::new("die", "crash"),
];

/// The values of the section before validation.
struct Section {
    limiter: Option<String>,
    key_file: Option<String>,
    duration: Duration,
    drift: f64,
    scheduled_crash: Option<ScheduledCrash>,
    limiters: Option<BTreeMap<String, SocketAddr>>,
    acceptors: Vec<String>,
    tasks: Vec<Task>,
    clock_fault: ClockFault,
}

/// Reads and validates the section, and adds all problems to `faults`. Returns `None` if a required value is missing or
/// unreadable.
pub(crate) fn read(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<LeaseConfig> {
    let mut reader = Reader::new(file, "lease", node, faults).with_aliases(ALIASES);
    let section = Section::read(file, &mut reader, faults);
    let mut checker = Checker {
        reader: &reader,
        faults,
    };
    checker.timing(&section);
    checker.limiter(&section);
    checker.acceptors(&section);
    checker.tasks(&section);
    reader.end(faults);
    section.into_lease()
}

impl Section {
    fn read(file: &Arc<str>, reader: &mut Reader<'_>, faults: &mut Faults) -> Section {
        let limiter = reader.need("limiter", faults, text);
        let key_file = reader.need("key", faults, text);
        let duration = reader.duration("duration", faults);
        let drift = reader.take("drift", faults, quantity::share);
        let scheduled_crash = reader
            .node("crash")
            .and_then(|node| read_scheduled_crash(file, node, faults));
        let limiters = reader.need("limiters", faults, |node| {
            read_limiters(node).map_err(|error| error.to_string())
        });
        let acceptors = reader.need("acceptors", faults, |node| {
            list(node).iter().map(text).collect::<Result<Vec<_>, _>>()
        });
        let tasks = reader.node("tasks").map(list).unwrap_or_default();
        let tasks = tasks
            .iter()
            .filter_map(|node| read_task(file, node, faults))
            .collect();
        let clock_fault = reader
            .node("clock")
            .map(|node| read_clock_fault(file, node, faults));
        Section {
            limiter,
            key_file,
            duration: duration.unwrap_or(DEFAULT_DURATION),
            drift: drift.unwrap_or(DEFAULT_DRIFT),
            scheduled_crash,
            limiters,
            acceptors: acceptors.unwrap_or_default(),
            tasks,
            clock_fault: clock_fault.unwrap_or_default(),
        }
    }

    /// Returns whether `limiters` has the name. If `limiters` itself is invalid, every name counts as known, so that
    /// only that fault is reported.
    fn knows_limiter(&self, name: &str) -> bool {
        self.limiters
            .as_ref()
            .is_none_or(|limiters| limiters.contains_key(name))
    }

    fn into_lease(self) -> Option<LeaseConfig> {
        Some(LeaseConfig {
            limiter: self.limiter?,
            key_file: self.key_file?.into(),
            duration: self.duration,
            drift_per_mille: (self.drift * 1_000.0).ceil() as u64,
            limiters: self.limiters?,
            acceptors: self.acceptors,
            tasks: self.tasks,
            clock_fault: self.clock_fault,
            scheduled_crash: self.scheduled_crash,
        })
    }
}

/// A validator of ranges, and of values that depend on each other.
struct Checker<'a, 'b> {
    reader: &'a Reader<'b>,
    faults: &'a mut Faults,
}

impl Checker<'_, '_> {
    fn add(&mut self, key: &str, problem: impl Display) {
        self.reader.fault(key, problem, self.faults);
    }

    fn timing(&mut self, section: &Section) {
        if !DURATION_RANGE.contains(&section.duration) {
            self.add("duration", LeaseConfigError::DurationOutOfRange);
        }
        if !DRIFT_RANGE.contains(&section.drift) {
            self.add("drift", LeaseConfigError::DriftTooLarge);
        }
    }

    fn limiter(&mut self, section: &Section) {
        if let Some(name) = &section.limiter {
            self.require_known_limiter("limiter", name, section);
        }
    }

    fn acceptors(&mut self, section: &Section) {
        let acceptors = &section.acceptors;
        let count = acceptors.len();
        if count.is_multiple_of(2) {
            self.add("acceptors", LeaseConfigError::EvenAcceptorCount { count });
        }
        for (index, name) in acceptors.iter().enumerate() {
            if acceptors[..index].contains(name) {
                let name = name.clone();
                self.add("acceptors", LeaseConfigError::DuplicateName { name });
            }
            self.require_known_limiter("acceptors", name, section);
        }
    }

    fn tasks(&mut self, section: &Section) {
        for (index, task) in section.tasks.iter().enumerate() {
            let is_duplicate = section.tasks[..index]
                .iter()
                .any(|other| other.name == task.name);
            if is_duplicate {
                let name = task.name.clone();
                self.add("tasks", LeaseConfigError::DuplicateName { name });
            }
            if task.max_operation_duration * 2 > section.duration {
                let task = task.name.clone();
                self.add("tasks", LeaseConfigError::OperationTooLong { task });
            }
        }
    }

    fn require_known_limiter(&mut self, key: &str, name: &str, section: &Section) {
        if !section.knows_limiter(name) {
            let name = name.to_owned();
            self.add(key, LeaseConfigError::UnknownLimiter { name });
        }
    }
}
