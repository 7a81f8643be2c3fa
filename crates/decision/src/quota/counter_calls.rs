//! Counter calls that have no reply yet.

use crate::api::{CustomerId, Nanos, Outcome, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Key of a count: one window of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WindowKey {
    pub(super) customer: CustomerId,
    pub(super) window: u64,
}

impl WindowKey {
    /// Returns the name of the count at the counter service. It is the same at all limiters and in all
    /// versions.
    pub(super) fn counter_name(self) -> String {
        format!("q{:x}.{}", self.customer.0, self.window)
    }
}

/// A call to the counter that adds a request's units or a correction, or, with an amount of zero, reads the
/// total of the previous window.
#[derive(Clone, Debug)]
pub(super) struct CounterCall {
    pub(super) key: WindowKey,
    pub(super) amount: f64,
    /// Request whose verdict depends on the reply; `None` for corrections and reads.
    pub(super) request: Option<RequestId>,
    /// Amount that the counter had confirmed to this limiter at the time of the call.
    pub(super) confirmed: f64,
}

impl CounterCall {
    /// Returns whether the call only reads the total.
    pub(super) fn is_read(&self) -> bool {
        self.request.is_none() && self.amount == 0.0
    }
}

/// The reply to a counter call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterReply {
    pub(crate) outcome: Outcome,
    pub(crate) total: f64,
    pub(crate) elapsed: Nanos,
}

impl CounterReply {
    pub(super) fn is_good(&self) -> bool {
        self.outcome == Outcome::Good
    }
}

/// Calls without a reply by the name of their count. Replies for the same name come in the order of the calls.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    calls: BTreeMap<String, VecDeque<CounterCall>>,
}

impl PendingCalls {
    pub(super) fn push(&mut self, name: String, call: CounterCall) {
        self.calls.entry(name).or_default().push_back(call);
    }

    /// Removes and returns the call that a reply to `name` belongs to. `None` if no call is pending.
    pub(super) fn take_oldest(&mut self, name: &str) -> Option<CounterCall> {
        self.calls.get_mut(name)?.pop_front()
    }

    /// Removes names without pending calls. Each window has a new name, so they would accumulate.
    pub(super) fn remove_unused(&mut self) {
        self.calls.retain(|_, calls| !calls.is_empty());
    }
}
