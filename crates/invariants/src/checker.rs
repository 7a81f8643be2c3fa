//! Checks the invariants in one pass over the records of a run.

use crate::invariant::{ClassLimits, Invariant, InvariantLimits, Violation};
use crate::process::{HostIndex, Processes};
use crate::record::{Answer, Fact, Record};
use quartzcleat_decision::api::{
    AttemptIndex, ClassIndex, DedupScope, Effect, HostState, LimiterIndex, Nanos, Outcome,
    RequestId,
};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Nanoseconds per millisecond, the unit of durations in violation descriptions.
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// Checks all invariants on the records of a complete run and returns the violations found, in the order of the records
/// and with unanswered requests last.
#[must_use]
pub fn check(
    processes: &Processes,
    limits: &InvariantLimits,
    records: &[Record],
) -> Vec<Violation> {
    let mut checker = Checker {
        processes,
        limits,
        requests: BTreeMap::new(),
        known_hosts: BTreeMap::new(),
        violations: Vec::new(),
    };
    for record in records {
        checker.observe(record);
    }
    let end = records.iter().map(|record| record.at).max().unwrap_or(0);
    checker.check_unanswered(end);
    checker.violations
}

/// An attempt at the time when it was sent.
#[derive(Clone, Copy)]
struct SentAttempt {
    attempt: AttemptIndex,
    at: Nanos,
    host: HostIndex,
}

/// The state of a request according to the records observed so far.
#[derive(Default)]
struct RequestState {
    limiter: LimiterIndex,
    class: ClassIndex,
    deadline: Nanos,
    is_received: bool,
    answers: u32,
    /// Whether its client disconnected or its limiter died, so that no answer is required.
    is_released: bool,
    in_flight: BTreeSet<AttemptIndex>,
    /// Attempts sent, without those that ended as [`Outcome::NeverSent`].
    attempts: u32,
    /// The first attempt that may have been executed, as far as the limiter can tell; `None` if there is none.
    first_possible_execution: Option<SentAttempt>,
    is_executed: bool,
}

impl RequestState {
    fn needs_answer(&self) -> bool {
        self.is_received && self.answers == 0 && !self.is_released
    }

    fn end_attempt(&mut self, attempt: AttemptIndex, outcome: Outcome) {
        self.in_flight.remove(&attempt);
        if outcome == Outcome::NeverSent {
            self.attempts = self.attempts.saturating_sub(1);
        }
        let is_first = self
            .first_possible_execution
            .is_some_and(|first| first.attempt == attempt);
        if is_first && outcome.never_ran() {
            self.first_possible_execution = None;
        }
    }
}

/// Identifies one limiter's view of a host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HostView {
    limiter: LimiterIndex,
    host: HostIndex,
}

/// The state of a host as last reported to a limiter, and since when.
#[derive(Clone, Copy)]
struct KnownState {
    state: HostState,
    since: Nanos,
}

struct Checker<'a> {
    processes: &'a Processes,
    limits: &'a InvariantLimits,
    requests: BTreeMap<RequestId, RequestState>,
    known_hosts: BTreeMap<HostView, KnownState>,
    violations: Vec<Violation>,
}

impl Checker<'_> {
    fn report(
        &mut self,
        invariant: Invariant,
        at: Nanos,
        request: Option<RequestId>,
        description: impl Into<String>,
    ) {
        self.violations.push(Violation {
            invariant,
            at,
            request,
            description: description.into(),
        });
    }

    fn request(&mut self, id: RequestId) -> &mut RequestState {
        self.requests.entry(id).or_default()
    }

    fn observe(&mut self, record: &Record) {
        let at = record.at;
        match &record.fact {
            Fact::RequestReceived {
                request,
                limiter,
                class,
                deadline,
                ..
            } => self.receive_request(*request, *limiter, *class, *deadline),
            Fact::HostStateLearned {
                limiter,
                host,
                state,
            } => self.learn_host_state(at, *limiter, *host, *state),
            Fact::AttemptSent {
                limiter,
                request,
                attempt,
                host,
                ..
            } => {
                let sent = SentAttempt {
                    attempt: *attempt,
                    at,
                    host: *host,
                };
                self.check_attempt(*limiter, *request, sent);
            }
            Fact::Executed { request, .. } => self.request(*request).is_executed = true,
            Fact::AttemptEnded {
                request,
                attempt,
                outcome,
            } => self.request(*request).end_attempt(*attempt, *outcome),
            Fact::Answered { request, answer } => self.check_answer(at, *request, *answer),
            Fact::ClientLeft { request } => self.request(*request).is_released = true,
            Fact::LimiterDied { limiter } => self.release_requests_of(*limiter),
            Fact::HostOverloaded { host } => {
                let description = format!(
                    "{} was overloaded while warming up",
                    self.processes.host(*host)
                );
                self.report(Invariant::SlowStart, at, None, description);
            }
            Fact::HostStarted { .. } | Fact::UnitsSettled { .. } | Fact::Note(_) => {}
        }
    }

    fn receive_request(
        &mut self,
        request: RequestId,
        limiter: LimiterIndex,
        class: ClassIndex,
        deadline: Nanos,
    ) {
        let state = self.request(request);
        state.limiter = limiter;
        state.class = class;
        state.deadline = deadline;
        state.is_received = true;
    }

    fn learn_host_state(
        &mut self,
        at: Nanos,
        limiter: LimiterIndex,
        host: HostIndex,
        state: HostState,
    ) {
        let key = HostView { limiter, host };
        let known = self.known_hosts.get(&key).map(|known| known.state);
        // A repeated notification of the same state does not restart the grace period.
        if known != Some(state) {
            self.known_hosts
                .insert(key, KnownState { state, since: at });
        }
    }

    fn release_requests_of(&mut self, limiter: LimiterIndex) {
        for state in self.requests.values_mut() {
            if state.limiter == limiter {
                state.is_released = true;
            }
        }
    }

    /// Checks an attempt when it is sent.
    fn check_attempt(&mut self, limiter: LimiterIndex, request: RequestId, sent: SentAttempt) {
        self.check_drain(limiter, request, sent);
        let state = self.request(request);
        let has_other_in_flight = !state.in_flight.is_empty();
        let first = state.first_possible_execution;
        let class = state.class;
        state.attempts += 1;
        state.in_flight.insert(sent.attempt);
        state.first_possible_execution.get_or_insert(sent);
        let attempts = state.attempts;
        if has_other_in_flight {
            self.report(
                Invariant::AttemptCap,
                sent.at,
                Some(request),
                "sent while an earlier attempt is in flight",
            );
        }
        let max_attempts = self.limits.max_attempts;
        if attempts > max_attempts {
            let description = format!("attempt {attempts} of {max_attempts} allowed");
            self.report(Invariant::AttemptCap, sent.at, Some(request), description);
        }
        if let Some(first) = first {
            self.check_repeat(class, request, first, sent);
        }
    }

    /// Checks that the limiter has not known the host to be draining or gone for longer than the grace period.
    fn check_drain(&mut self, limiter: LimiterIndex, request: RequestId, sent: SentAttempt) {
        let key = HostView {
            limiter,
            host: sent.host,
        };
        let Some(known) = self.known_hosts.get(&key).copied() else {
            return;
        };
        let latest = known.since + self.limits.drain_grace + self.limits.time_tolerance;
        if known.state == HostState::Ready || sent.at <= latest {
            return;
        }
        let delay = (sent.at - known.since) as f64 / NANOS_PER_MILLISECOND;
        let host = self.processes.host(sent.host);
        let description =
            format!("sent to {host} {delay:.0} ms after the limiter was notified of its drain");
        self.report(Invariant::Drains, sent.at, Some(request), description);
    }

    /// Checks an attempt of a request that an earlier attempt may have executed.
    fn check_repeat(
        &mut self,
        class: ClassIndex,
        request: RequestId,
        first: SentAttempt,
        sent: SentAttempt,
    ) {
        let class = self.limits.class(class);
        let window_end = first.at + class.dedup_window + self.limits.time_tolerance;
        let description = match class.effect {
            Effect::Unsafe => "retried, though it may have been executed and is unsafe to repeat",
            Effect::IdempotentWithKey
                if !self.shares_keys(class.dedup_scope, first.host, sent.host) =>
            {
                "retried outside the deduplication scope of its key"
            }
            Effect::IdempotentWithKey if sent.at >= window_end => {
                "retried after the deduplication window of its key"
            }
            Effect::Idempotent | Effect::IdempotentWithKey => return,
        };
        self.report(Invariant::SafeRepeats, sent.at, Some(request), description);
    }

    /// Returns whether two hosts recognise each other's idempotency keys.
    fn shares_keys(&self, dedup_scope: DedupScope, first: HostIndex, second: HostIndex) -> bool {
        let first = self.processes.hosts.get(first.0);
        let second = self.processes.hosts.get(second.0);
        match dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => first.map(|host| host.zone) == second.map(|host| host.zone),
            DedupScope::Cell => first.map(|host| host.cell) == second.map(|host| host.cell),
        }
    }

    /// Checks a final answer when the client receives it.
    fn check_answer(&mut self, at: Nanos, request: RequestId, answer: Answer) {
        let state = self.request(request);
        state.answers += 1;
        let answers = state.answers;
        let deadline = state.deadline;
        let is_executed = state.is_executed;
        let class = state.class;
        let may_have_executed = state.first_possible_execution.is_some();
        if answers > 1 {
            let description = format!("answer number {answers}");
            self.report(Invariant::OneAnswer, at, Some(request), description);
        }
        if at > deadline + self.limits.answer_grace + self.limits.time_tolerance {
            let delay = (at - deadline) as f64 / NANOS_PER_MILLISECOND;
            let description = format!("answered {delay:.0} ms late");
            self.report(Invariant::OneAnswer, at, Some(request), description);
        }
        if answer == Answer::Served && !is_executed {
            let description = "served, though no node executed it";
            self.report(Invariant::Values, at, Some(request), description);
        }
        let is_rejection = matches!(answer, Answer::Rejected(_));
        if is_rejection && may_have_executed && is_retry_harmful(self.limits.class(class)) {
            let description = "rejected as safe to retry, though it may have been executed";
            self.report(Invariant::SafeRepeats, at, Some(request), description);
        }
    }

    /// Reports the requests that still need an answer at the end of the run.
    fn check_unanswered(&mut self, end: Nanos) {
        let unanswered: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| state.needs_answer())
            .map(|(request, _)| *request)
            .collect();
        for request in unanswered {
            self.report(Invariant::OneAnswer, end, Some(request), "never answered");
        }
    }
}

/// Returns whether a client's retry is harmful if the request was already executed. A rejected client retries with the
/// same idempotency key, and the retry may reach a host outside the deduplication scope of that key.
fn is_retry_harmful(class: ClassLimits) -> bool {
    match class.effect {
        Effect::Idempotent => false,
        Effect::IdempotentWithKey => class.dedup_scope != DedupScope::All,
        Effect::Unsafe => true,
    }
}
