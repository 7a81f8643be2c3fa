//! The per-request history of a run, built from its records in one pass.

mod builder;

use crate::requirement::{RequestFilter, RequestKind};
use builder::HistoryBuilder;
use quartzcleat_decision::api::{ClassIndex, HostState, LimiterIndex, Nanos, RequestId};
use quartzcleat_invariants::{Answer, HostIndex, PartnerIndex, Processes, Record};
use std::collections::BTreeMap;

/// The final answer to a request and the time at which it was given.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredAt {
    pub(crate) answer: Answer,
    pub(crate) at: Nanos,
}

/// The state of a host as a limiter knows it, and the time at which the limiter learned of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownState {
    pub(crate) state: HostState,
    pub(crate) since: Nanos,
}

/// The kinds of hosts of which a limiter knew at least one when it sent an attempt.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "four independent facts, not the states of one value"
)]
pub(crate) struct KnownHosts {
    pub(crate) has_draining: bool,
    pub(crate) has_gone: bool,
    /// A ready host that is warming up.
    pub(crate) has_warming_up: bool,
    /// A ready host in another zone.
    pub(crate) has_other_zone: bool,
}

/// An attempt, with the circumstances under which it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) at: Nanos,
    pub(crate) host: HostIndex,
    pub(crate) is_host_warming_up: bool,
    pub(crate) is_cross_zone: bool,
    /// The state of the host as the limiter knew it; `None` if the limiter had not learned of any.
    pub(crate) known_state: Option<KnownState>,
    pub(crate) known_hosts: KnownHosts,
}

/// The history of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHistory {
    pub(crate) id: RequestId,
    limiter: LimiterIndex,
    class: ClassIndex,
    partner: PartnerIndex,
    kind: RequestKind,
    pub(crate) operation: u64,
    /// The units that the client stated, or the true units once they are settled.
    pub(crate) units: f64,
    pub(crate) received_at: Nanos,
    pub(crate) attempts: Vec<SentAttempt>,
    /// The times at which attempts ended, in the order of the records.
    pub(crate) attempt_ends: Vec<Nanos>,
    /// Whether an attempt ended with an outcome other than [`Outcome::Good`](quartzcleat_decision::api::Outcome::Good).
    pub(crate) has_failed_attempt: bool,
    /// The first recorded answer; `None` if the run ended without one.
    pub(crate) answered: Option<AnsweredAt>,
}

impl RequestHistory {
    /// Returns whether at least one attempt was sent to a host.
    pub(crate) fn is_forwarded(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub(crate) fn answer(&self) -> Option<Answer> {
        self.answered.map(|answered| answered.answer)
    }

    pub(crate) fn is_rejected(&self) -> bool {
        matches!(self.answer(), Some(Answer::Rejected(_)))
    }

    /// Returns whether the filter selects this request. `start` is the start of the run.
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

/// The history of one run.
#[derive(Clone, Debug)]
pub(crate) struct RunHistory {
    pub(crate) start: Nanos,
    requests: Vec<RequestHistory>,
    /// The number of executions by operation, without deduplicated repeats.
    executions: BTreeMap<u64, u32>,
}

impl RunHistory {
    /// Builds the history from a run's records, which must be in the order of the run.
    pub(crate) fn from_records(processes: &Processes, records: &[Record]) -> Self {
        let mut builder = HistoryBuilder::new(processes, records);
        for record in records {
            builder.add(record);
        }
        builder.finish()
    }

    /// Returns the requests that a filter selects, in the order of their receipt.
    pub(crate) fn requests<'a>(
        &'a self,
        filter: &'a RequestFilter,
    ) -> impl Iterator<Item = &'a RequestHistory> + 'a {
        self.requests
            .iter()
            .filter(|request| request.matches(filter, self.start))
    }

    /// Returns how often an operation was executed, without deduplicated repeats.
    pub(crate) fn executions(&self, operation: u64) -> u32 {
        self.executions.get(&operation).copied().unwrap_or(0)
    }
}
