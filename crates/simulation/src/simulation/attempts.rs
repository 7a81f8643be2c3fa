//! Attempts: transmission to a host, execution there, and the outcome reported to the limiter.

use super::{Simulation, Stopped};
use crate::event_queue::Event;
use crate::executed_keys::GroupKey;
use crate::host::{Arrival, AttemptKey, HostStatus};
use crate::limiter::{AttemptId, AttemptNotAllowed, InFlightAttempt, StartedAttempt};
use crate::oracle::ChoicePoint;
use crate::scenario::AttemptOutcome;
use quartzcleat_decision::api::{
    self, ClassIndex, DedupScope, Effect, HostId, LimiterIndex, LoadReport, Nanos, Outcome,
    RequestId,
};
use quartzcleat_invariants::{Answer, Fact, HostIndex};
use std::collections::VecDeque;

/// Time in which a host answers a duplicate without executing it: 1 ms.
const DUPLICATE_ANSWER_TIME: Nanos = 1_000_000;
/// Work of a request whose class has none configured: 100 ms on a core of speed 1.
const DEFAULT_WORK: Nanos = 100_000_000;

impl Simulation<'_> {
    /// Sends an attempt that the engine ordered. If it must not be sent, the engine is notified immediately.
    pub(super) fn send_attempt(
        &mut self,
        limiter: LimiterIndex,
        request: RequestId,
        host: HostId,
        timeout: Nanos,
        events: &mut VecDeque<api::Event>,
    ) -> Result<(), Stopped> {
        let host_index = HostIndex(host.0 as usize);
        let max_attempts = self.scenario.settings.attempts.max_per_request.max(1);
        let now = self.now;
        let started =
            self.limiters[limiter.as_usize()].start_attempt(request, host_index, now, max_attempts);
        match started {
            Ok(attempt) if host_index.0 < self.hosts.len() => {
                self.transmit_attempt(limiter, request, host_index, attempt, timeout)
            }
            Ok(StartedAttempt { attempt, .. }) | Err(AttemptNotAllowed { attempt }) => {
                events.push_back(api::Event::attempt_never_sent(request, attempt, host));
                Ok(())
            }
        }
    }

    fn transmit_attempt(
        &mut self,
        limiter: LimiterIndex,
        request: RequestId,
        host: HostIndex,
        started: StartedAttempt,
        timeout: Nanos,
    ) -> Result<(), Stopped> {
        let now = self.now;
        let capacity = self.hosts[host.0].capacity_factor(&self.scenario.ground_truth, now);
        self.record(Fact::AttemptSent {
            limiter,
            request,
            attempt: started.attempt,
            host,
            warming_up: capacity < 1.0,
        });
        let ends_at = match timeout {
            0 => started.deadline,
            timeout => started.deadline.min(now + timeout),
        };
        let outcomes = &self.scenario.attempt_outcomes;
        let number = started.attempt.as_usize();
        let choice = self.choose_numbered(ChoicePoint::Attempt, number, outcomes.len())?;
        let planned = outcomes.get(choice).copied();
        let attempt = AttemptKey {
            limiter,
            request,
            attempt: started.attempt,
        };
        self.schedule_attempt_end(ends_at - now, attempt, Outcome::Timeout);
        let delay = self.delay_to_host(limiter, host);
        self.apply_outcome(
            attempt,
            host,
            planned.unwrap_or(AttemptOutcome::Normal),
            delay,
        );
        Ok(())
    }

    /// Schedules the arrival of an attempt at its host, or its failure on the way.
    fn apply_outcome(
        &mut self,
        attempt: AttemptKey,
        host: HostIndex,
        outcome: AttemptOutcome,
        delay: Nanos,
    ) {
        let failure = match outcome {
            AttemptOutcome::ConnectionRefused => Outcome::ConnectFailed,
            AttemptOutcome::Rejected => Outcome::Rejected,
            AttemptOutcome::ResetBeforeExecution => Outcome::Reset,
            AttemptOutcome::RequestLost => return,
            AttemptOutcome::Normal
            | AttemptOutcome::Error
            | AttemptOutcome::ResetAfterExecution
            | AttemptOutcome::AnswerLost
            | AttemptOutcome::Late => {
                let arrival = Event::AttemptArrives {
                    attempt,
                    host,
                    outcome,
                };
                self.schedule(delay, arrival);
                return;
            }
        };
        self.schedule_attempt_end(2 * delay, attempt, failure);
    }

    /// Handles the arrival of an attempt at a host. An attempt that has already ended is ignored.
    pub(super) fn receive_attempt(
        &mut self,
        attempt: AttemptKey,
        host: HostIndex,
        outcome: AttemptOutcome,
    ) {
        let Some(in_flight) = self.in_flight(attempt) else {
            return;
        };
        let work = self.work(in_flight.class);
        let truth = &self.scenario.ground_truth;
        let arrival = self.hosts[host.0].receive(attempt, work, truth, self.now);
        let delay = self.delay_to_host(attempt.limiter, host);
        match arrival {
            Arrival::Started => self.execute(attempt, host, outcome),
            Arrival::Queued | Arrival::Lost => {}
            Arrival::Rejected => self.schedule_attempt_end(delay, attempt, Outcome::Rejected),
            Arrival::ConnectionRefused => {
                self.schedule_attempt_end(delay, attempt, Outcome::ConnectFailed);
            }
            Arrival::Overloads => {
                self.record(Fact::HostOverloaded { host });
                self.kill_host(host);
            }
        }
    }

    /// Executes an attempt at a host and schedules its end and that of the job.
    fn execute(&mut self, attempt: AttemptKey, host: HostIndex, outcome: AttemptOutcome) {
        let in_flight = self.in_flight(attempt);
        let operation = in_flight
            .map(|in_flight| in_flight.operation)
            .or_else(|| self.clients.operation_of(attempt.request))
            .unwrap_or(0);
        let class = in_flight.map_or(ClassIndex(0), |in_flight| in_flight.class);
        let deduplicated = self.is_duplicate(class, operation, host);
        self.record(Fact::Executed {
            host,
            request: attempt.request,
            deduplicated,
        });
        let elapsed = if deduplicated {
            DUPLICATE_ANSWER_TIME
        } else {
            let work = self.work(class);
            let work = self.variation.vary(work);
            self.hosts[host.0].execution_time(work, &self.scenario.ground_truth, self.now)
        };
        let delay = self.delay_to_host(attempt.limiter, host);
        match outcome {
            AttemptOutcome::Error => self.schedule_attempt_end(delay, attempt, Outcome::Error),
            AttemptOutcome::ResetAfterExecution => {
                self.schedule_attempt_end(delay, attempt, Outcome::Reset);
            }
            AttemptOutcome::Late => {
                let late = elapsed + self.latency_objective(class) + delay;
                self.schedule_attempt_end(late, attempt, Outcome::Good);
            }
            AttemptOutcome::AnswerLost => {}
            _ => self.schedule_attempt_end(elapsed + delay, attempt, Outcome::Good),
        }
        let finished = Event::JobFinished {
            attempt,
            host,
            process_start: self.hosts[host.0].started,
        };
        self.schedule(elapsed, finished);
    }

    /// Returns whether a host recognises a duplicate, because a host that shares its keys executed the same key within
    /// the deduplication window. Otherwise a new window for the key begins now.
    fn is_duplicate(&mut self, class: ClassIndex, operation: u64, host: HostIndex) -> bool {
        let Some(class) = self.scenario.ground_truth.classes.get(class.as_usize()) else {
            return false;
        };
        if class.effect != Effect::IdempotentWithKey {
            return false;
        }
        let process = &self.scenario.processes.hosts[host.0];
        let group = match class.dedup_scope {
            DedupScope::All => 0,
            DedupScope::Zone => process.zone.0 + 1,
            DedupScope::Cell => process.cell.0 + 1,
        };
        let key = GroupKey { group, operation };
        let is_duplicate = self
            .executed_keys
            .get(&key)
            .is_some_and(|first| self.now < first + class.dedup_window);
        if !is_duplicate {
            self.executed_keys.insert(key, self.now);
        }
        is_duplicate
    }

    /// Finishes a job at a host, which then executes the next one in its queue.
    pub(super) fn finish_job(&mut self, host: HostIndex, process_start: Nanos) {
        let state = &mut self.hosts[host.0];
        // The job ended with its process if that process has stopped since.
        if state.started != process_start || state.status != HostStatus::Running {
            return;
        }
        if let Some(next) = state.finish_job() {
            self.execute(next, host, AttemptOutcome::Normal);
        }
    }

    /// Reports the outcome of an attempt to its limiter, if the attempt is still in flight.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptKey,
        outcome: Outcome,
    ) -> Result<(), Stopped> {
        let Some(in_flight) = self.in_flight(attempt) else {
            return Ok(());
        };
        let is_good = outcome == Outcome::Good;
        if is_good && self.hosts[in_flight.host.0].status == HostStatus::Unreachable {
            // The machine has become unreachable in the meantime, so its answer is lost.
            return Ok(());
        }
        self.limiters[attempt.limiter.as_usize()]
            .in_flight
            .remove(&AttemptId {
                request: attempt.request,
                attempt: attempt.attempt,
            });
        self.hosts[in_flight.host.0].cancel(attempt);
        self.record(Fact::AttemptEnded {
            request: attempt.request,
            attempt: attempt.attempt,
            outcome,
        });
        if is_good {
            self.answer(attempt.limiter, attempt.request, Answer::Served);
        }
        let true_units = self.settle_units(attempt.request, in_flight.operation, outcome);
        let done = api::Event::AttemptDone {
            id: attempt.request,
            attempt: attempt.attempt,
            host: HostId(in_flight.host.0 as u32),
            outcome,
            elapsed: self.now - in_flight.started,
            is_request_finished: false,
            metered_use: 0,
            true_units,
            load: LoadReport::default(),
        };
        self.handle(attempt.limiter, done)
    }

    /// Records and returns the actual units that a successful answer states; 0 if it states none.
    fn settle_units(&mut self, request: RequestId, operation: u64, outcome: Outcome) -> f64 {
        if outcome != Outcome::Good {
            return 0.0;
        }
        let units = self.clients.true_units(operation);
        if units > 0.0 {
            self.record(Fact::UnitsSettled { request, units });
        }
        units
    }

    /// Kills a host's process, which resets the connections of its attempts.
    pub(super) fn kill_host(&mut self, host: HostIndex) {
        self.hosts[host.0].stop(HostStatus::Dead);
        for attempt in self.attempts_at(host) {
            let delay = self.delay_to_host(attempt.limiter, host);
            self.schedule_attempt_end(delay, attempt, Outcome::Reset);
        }
    }

    fn attempts_at(&self, host: HostIndex) -> Vec<AttemptKey> {
        let mut attempts = Vec::new();
        for (position, state) in self.limiters.iter().enumerate() {
            let limiter = LimiterIndex::from_usize(position);
            for (id, in_flight) in &state.in_flight {
                if in_flight.host == host {
                    attempts.push(AttemptKey {
                        limiter,
                        request: id.request,
                        attempt: id.attempt,
                    });
                }
            }
        }
        attempts
    }

    fn schedule_attempt_end(&mut self, delay: Nanos, attempt: AttemptKey, outcome: Outcome) {
        self.schedule(delay, Event::AttemptEnds { attempt, outcome });
    }

    fn in_flight(&self, attempt: AttemptKey) -> Option<InFlightAttempt> {
        self.limiters[attempt.limiter.as_usize()].attempt(attempt.request, attempt.attempt)
    }

    /// Returns a one-way delay between a limiter and a host, in nanoseconds.
    fn delay_to_host(&mut self, limiter: LimiterIndex, host: HostIndex) -> Nanos {
        let processes = &self.scenario.processes;
        let from = processes.limiters[limiter.as_usize()].zone;
        let to = processes.hosts[host.0].zone;
        self.network.delay_between(from, to, &mut self.variation)
    }

    fn work(&self, class: ClassIndex) -> Nanos {
        self.scenario
            .work
            .get(class.as_usize())
            .copied()
            .unwrap_or(DEFAULT_WORK)
    }

    fn latency_objective(&self, class: ClassIndex) -> Nanos {
        self.scenario
            .ground_truth
            .classes
            .get(class.as_usize())
            .map_or(0, |class| class.latency_objective)
    }
}
