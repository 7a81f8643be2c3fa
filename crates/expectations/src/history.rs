//! The history of a run by request, gathered from its records in one pass.

mod builder;

use crate::requirement::{RequestFilter, RequestKind};
use builder::HistoryBuilder;
use quartzcleat_decision::api::{ClassIndex, HostState, LimiterIndex, Nanos, RequestId};
use quartzcleat_invariants::{Answer, HostIndex, PartnerIndex, Processes, Record};
use std::collections::BTreeMap;

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
#[expect(
    clippy::struct_excessive_bools,
    reason = "four independent facts, no states of one thing"
)]
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
    /// The state of the host as the limiter knew it.
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
        builder.finish()
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
