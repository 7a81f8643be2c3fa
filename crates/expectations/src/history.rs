//! The history of a run by request, gathered from its records in one pass.

use crate::requirement::{RequestFilter, RequestKind};
use quartzcleat_decision::api::{ClassIndex, HostState, LimiterIndex, Nanos, Outcome, RequestId};
use quartzcleat_invariants::{Answer, Fact, HostIndex, PartnerIndex, Processes, Record};
use std::collections::{BTreeMap, BTreeSet};

/// A final answer and its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredAt {
    pub(crate) answer: Answer,
    pub(crate) at: Nanos,
}

/// A host's state as a limiter knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownState {
    pub(crate) state: HostState,
    pub(crate) since: Nanos,
}

/// The hosts that a limiter knew when it sent an attempt: whether there was one of each kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownHosts {
    pub(crate) has_draining: bool,
    pub(crate) has_gone: bool,
    /// A ready host that is warming up.
    pub(crate) has_warming_up: bool,
    /// A ready host in another zone.
    pub(crate) has_other_zone: bool,
}

/// An attempt as it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) at: Nanos,
    pub(crate) host: HostIndex,
    pub(crate) is_host_warming_up: bool,
    pub(crate) is_cross_zone: bool,
    /// What the limiter knew of the host.
    pub(crate) known_state: Option<KnownState>,
    pub(crate) known_hosts: KnownHosts,
}

/// The history of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHistory {
    pub(crate) id: RequestId,
    limiter: LimiterIndex,
    class: ClassIndex,
    partner: PartnerIndex,
    kind: RequestKind,
    pub(crate) operation: u64,
    pub(crate) units: f64,
    pub(crate) received_at: Nanos,
    pub(crate) attempts: Vec<SentAttempt>,
    pub(crate) attempt_ends: Vec<Nanos>,
    pub(crate) has_failed_attempt: bool,
    pub(crate) answered: Option<AnsweredAt>,
}

impl RequestHistory {
    pub(crate) fn is_forwarded(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub(crate) fn answer(&self) -> Option<Answer> {
        self.answered.map(|answered| answered.answer)
    }

    pub(crate) fn is_rejected(&self) -> bool {
        matches!(self.answer(), Some(Answer::Rejected(_)))
    }

    fn matches(&self, filter: &RequestFilter, start: Nanos) -> bool {
        let since_start = self.received_at - start;
        let has_partner = filter
            .partners
            .as_ref()
            .is_none_or(|partners| partners.contains(&self.partner));
        has_partner
            && filter.class.is_none_or(|class| class == self.class)
            && filter.limiter.is_none_or(|limiter| limiter == self.limiter)
            && filter
                .operation
                .is_none_or(|operation| operation == self.operation)
            && filter.kind.is_none_or(|kind| kind == self.kind)
            && since_start >= filter.after
            && filter.until.is_none_or(|until| since_start < until)
    }
}

/// The history of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunHistory {
    pub(crate) start: Nanos,
    requests: Vec<RequestHistory>,
    /// Executions by operation, without deduplicated repeats.
    executions: BTreeMap<u64, u32>,
}

impl RunHistory {
    /// Gathers the history from a run's records.
    pub(crate) fn from_records(processes: &Processes, records: &[Record]) -> Self {
        let mut builder = HistoryBuilder::new(processes, records);
        for record in records {
            builder.add(record);
        }
        builder.history
    }

    /// The requests that a filter selects.
    pub(crate) fn requests<'a>(
        &'a self,
        filter: &'a RequestFilter,
    ) -> impl Iterator<Item = &'a RequestHistory> + 'a {
        self.requests
            .iter()
            .filter(|request| request.matches(filter, self.start))
    }

    /// How often an operation was executed.
    pub(crate) fn executions(&self, operation: u64) -> u32 {
        self.executions.get(&operation).copied().unwrap_or(0)
    }
}

/// A host from the view of a limiter.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LimiterHost {
    limiter: LimiterIndex,
    host: HostIndex,
}

struct HistoryBuilder<'a> {
    processes: &'a Processes,
    history: RunHistory,
    /// The index of each request's history.
    positions: BTreeMap<RequestId, usize>,
    operations: BTreeSet<u64>,
    known_states: BTreeMap<LimiterHost, KnownState>,
    warming_up: BTreeSet<HostIndex>,
}

impl<'a> HistoryBuilder<'a> {
    fn new(processes: &'a Processes, records: &[Record]) -> Self {
        HistoryBuilder {
            processes,
            history: RunHistory {
                start: records.first().map_or(0, |record| record.at),
                requests: Vec::new(),
                executions: BTreeMap::new(),
            },
            positions: BTreeMap::new(),
            operations: BTreeSet::new(),
            known_states: BTreeMap::new(),
            warming_up: BTreeSet::new(),
        }
    }

    fn request(&mut self, id: RequestId) -> Option<&mut RequestHistory> {
        let position = *self.positions.get(&id)?;
        self.history.requests.get_mut(position)
    }

    fn add(&mut self, record: &Record) {
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
        self.positions.insert(*request, self.history.requests.len());
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
        let has = |state: HostState, is_meant: &dyn Fn(HostIndex) -> bool| {
            self.known_states.iter().any(|(key, known)| {
                key.limiter == limiter && known.state == state && is_meant(key.host)
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
