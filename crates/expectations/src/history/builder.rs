//! Builds the history of a run, record by record.

use super::{AnsweredAt, KnownHosts, KnownState, RequestHistory, RunHistory, SentAttempt};
use crate::requirement::RequestKind;
use quartzcleat_decision::api::{HostState, LimiterIndex, Nanos, Outcome, RequestId};
use quartzcleat_invariants::{Fact, HostIndex, Processes, Record};
use std::collections::{BTreeMap, BTreeSet};

/// A limiter and a host, as the key of what the limiter knows about the host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LimiterHost {
    limiter: LimiterIndex,
    host: HostIndex,
}

/// Builds the history of a run.
pub(super) struct HistoryBuilder<'a> {
    processes: &'a Processes,
    history: RunHistory,
    /// The index of each request in `history.requests`.
    request_indices: BTreeMap<RequestId, usize>,
    /// The operations of the requests so far; a further request for one of them is a retry.
    operations: BTreeSet<u64>,
    known_states: BTreeMap<LimiterHost, KnownState>,
    /// The hosts that have started or were warming up at an attempt. A host that has warmed up stays in the set.
    warming_up: BTreeSet<HostIndex>,
}

impl<'a> HistoryBuilder<'a> {
    /// Creates a builder for a run with these processes. The run starts at the time of the first record, or at 0 if
    /// there is none.
    pub(super) fn new(processes: &'a Processes, records: &[Record]) -> Self {
        HistoryBuilder {
            processes,
            history: RunHistory {
                start: records.first().map_or(0, |record| record.at),
                requests: Vec::new(),
                executions: BTreeMap::new(),
            },
            request_indices: BTreeMap::new(),
            operations: BTreeSet::new(),
            known_states: BTreeMap::new(),
            warming_up: BTreeSet::new(),
        }
    }

    /// Returns the history of the records added so far.
    pub(super) fn finish(self) -> RunHistory {
        self.history
    }

    fn request(&mut self, id: RequestId) -> Option<&mut RequestHistory> {
        let index = *self.request_indices.get(&id)?;
        self.history.requests.get_mut(index)
    }

    /// Adds a record. Records must be added in the order of the run.
    pub(super) fn add(&mut self, record: &Record) {
        let at = record.at;
        match &record.fact {
            Fact::RequestReceived { .. } => self.add_request(record),
            Fact::HostStateLearned {
                limiter,
                host,
                state,
            } => self.learn_host_state(at, *limiter, *host, *state),
            Fact::HostStarted { host } => {
                self.warming_up.insert(*host);
            }
            Fact::AttemptSent {
                limiter,
                request,
                host,
                warming_up,
                ..
            } => self.add_attempt(at, *limiter, *request, *host, *warming_up),
            Fact::Executed {
                request,
                deduplicated: false,
                ..
            } => self.add_execution(*request),
            Fact::AttemptEnded {
                request, outcome, ..
            } => {
                if let Some(history) = self.request(*request) {
                    history.has_failed_attempt |= *outcome != Outcome::Good;
                    history.attempt_ends.push(at);
                }
            }
            Fact::UnitsSettled { request, units } => {
                if let Some(history) = self.request(*request) {
                    history.units = *units;
                }
            }
            Fact::Answered { request, answer } => {
                let answered = AnsweredAt {
                    answer: *answer,
                    at,
                };
                if let Some(history) = self.request(*request) {
                    history.answered.get_or_insert(answered);
                }
            }
            _ => {}
        }
    }

    fn add_request(&mut self, record: &Record) {
        let Fact::RequestReceived {
            request,
            limiter,
            operation,
            class,
            partner,
            units,
            ..
        } = &record.fact
        else {
            return;
        };
        let is_first = self.operations.insert(*operation);
        self.request_indices
            .insert(*request, self.history.requests.len());
        self.history.requests.push(RequestHistory {
            id: *request,
            limiter: *limiter,
            class: *class,
            partner: *partner,
            kind: if is_first {
                RequestKind::First
            } else {
                RequestKind::Retry
            },
            operation: *operation,
            units: *units,
            received_at: record.at,
            attempts: Vec::new(),
            attempt_ends: Vec::new(),
            has_failed_attempt: false,
            answered: None,
        });
    }

    fn learn_host_state(
        &mut self,
        at: Nanos,
        limiter: LimiterIndex,
        host: HostIndex,
        state: HostState,
    ) {
        let key = LimiterHost { limiter, host };
        let known = self.known_states.get(&key).map(|known| known.state);
        if known != Some(state) {
            self.known_states
                .insert(key, KnownState { state, since: at });
        }
    }

    fn add_attempt(
        &mut self,
        at: Nanos,
        limiter: LimiterIndex,
        request: RequestId,
        host: HostIndex,
        is_host_warming_up: bool,
    ) {
        if is_host_warming_up {
            self.warming_up.insert(host);
        }
        let attempt = SentAttempt {
            at,
            host,
            is_host_warming_up,
            is_cross_zone: self.is_cross_zone(limiter, host),
            known_state: self
                .known_states
                .get(&LimiterHost { limiter, host })
                .copied(),
            known_hosts: self.known_hosts(limiter),
        };
        if let Some(history) = self.request(request) {
            history.attempts.push(attempt);
        }
    }

    fn is_cross_zone(&self, limiter: LimiterIndex, host: HostIndex) -> bool {
        let host_zone = self.processes.hosts.get(host.0).map(|host| host.zone);
        let own_zone = self
            .processes
            .limiters
            .get(limiter.as_usize())
            .map(|limiter| limiter.zone);
        host_zone != own_zone
    }

    fn known_hosts(&self, limiter: LimiterIndex) -> KnownHosts {
        let has = |state: HostState, is_included: &dyn Fn(HostIndex) -> bool| {
            self.known_states.iter().any(|(key, known)| {
                key.limiter == limiter && known.state == state && is_included(key.host)
            })
        };
        KnownHosts {
            has_draining: has(HostState::Draining, &|_| true),
            has_gone: has(HostState::Gone, &|_| true),
            has_warming_up: has(HostState::Ready, &|host| self.warming_up.contains(&host)),
            has_other_zone: has(HostState::Ready, &|host| self.is_cross_zone(limiter, host)),
        }
    }

    fn add_execution(&mut self, request: RequestId) {
        if let Some(operation) = self.request(request).map(|history| history.operation) {
            *self.history.executions.entry(operation).or_default() += 1;
        }
    }
}
