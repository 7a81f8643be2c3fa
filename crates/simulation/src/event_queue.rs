//! The queue of a run's pending events, ordered by time.

use crate::host::AttemptKey;
use crate::scenario::{AttemptOutcome, ClientRequest};
use quartzcleat_decision::api::{
    HostEntry, LimiterIndex, ListMode, Nanos, Outcome, RequestId, Timer,
};
use quartzcleat_invariants::HostIndex;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An incarnation of a limiter: its process between a start and the next crash. Events addressed to an earlier
/// incarnation are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimiterIncarnation {
    pub(crate) limiter: LimiterIndex,
    pub(crate) incarnation: u32,
}

/// A call of a limiter to the counter: adds `amount` to the total `name`.
#[derive(Clone, Debug)]
pub(crate) struct CounterCall {
    pub(crate) caller: LimiterIncarnation,
    pub(crate) number: u64,
    pub(crate) name: String,
    pub(crate) amount: f64,
    /// Lifetime of the total if the call creates it.
    pub(crate) keep_for: Nanos,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A step of the scenario happens, given by its index.
    Step(usize),
    /// A client's request reaches a limiter.
    ClientRequest(ClientRequest),
    /// Discovery notifies a limiter of hosts.
    HostsNotified {
        limiter: LimiterIncarnation,
        mode: ListMode,
        entries: Vec<HostEntry>,
    },
    /// A timer of the decision engine fires.
    Timer {
        limiter: LimiterIncarnation,
        timer: Timer,
    },
    /// A limiter fails a request that is still unanswered shortly before its deadline.
    AnswerDue {
        limiter: LimiterIncarnation,
        request: RequestId,
    },
    /// An attempt reaches its host.
    AttemptArrives {
        attempt: AttemptKey,
        host: HostIndex,
        outcome: AttemptOutcome,
    },
    /// A host finishes a job. The event is ignored if the host's process no longer has this start time.
    JobFinished {
        #[expect(dead_code, reason = "distinguishes states in the fingerprint")]
        attempt: AttemptKey,
        host: HostIndex,
        process_start: Nanos,
    },
    /// A limiter learns how an attempt ended.
    AttemptEnds {
        attempt: AttemptKey,
        outcome: Outcome,
    },
    /// A call reaches the counter.
    CounterCallArrives(CounterCall),
    /// The counter executes a call.
    CounterCallExecutes(CounterCall),
    /// A limiter learns how a call to the counter ended.
    CounterCallEnds {
        caller: LimiterIncarnation,
        number: u64,
        outcome: Outcome,
        total: f64,
    },
}

/// A scheduled event. Events with the same time keep the order in which they were scheduled.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledEvent {
    pub(crate) at: Nanos,
    sequence: u64,
    pub(crate) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

/// The pending events of a run.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    pub(crate) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }

    /// Returns the pending events in no particular order.
    pub(crate) fn events(&self) -> impl Iterator<Item = &Event> {
        self.heap.iter().map(|Reverse(scheduled)| &scheduled.event)
    }

    /// Returns the pending events in the order in which they will be handled.
    pub(crate) fn in_order(&self) -> Vec<&ScheduledEvent> {
        let mut scheduled: Vec<_> = self.heap.iter().map(|Reverse(event)| event).collect();
        scheduled.sort_unstable();
        scheduled
    }
}
