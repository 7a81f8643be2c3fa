//! Calls to the counter that have no reply yet.

use crate::api::{CustomerId, Nanos, Outcome, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// One window of one customer, which has a count of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WindowKey {
    pub(super) customer: CustomerId,
    pub(super) window: u64,
}

impl WindowKey {
    /// Name of the count at the counter service. All limiters, also of other versions, use the same.
    pub(super) fn counter_name(self) -> String {
        format!("q{:x}.{}", self.customer.0, self.window)
    }
}

/// A call to the counter: a request's units, a correction, or, with an amount of zero, a read of the previous
/// window.
#[derive(Clone, Debug)]
pub(super) struct CounterCall {
    pub(super) key: WindowKey,
    pub(super) amount: f64,
    /// The request whose verdict depends on the reply.
    pub(super) request: Option<RequestId>,
    /// Amount that the counter had confirmed to this limiter when the call was made.
    pub(super) confirmed: f64,
}

impl CounterCall {
    /// Whether the call only reads the total.
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

/// Calls without a reply, by the count's name. Replies for one name come in the order of the calls.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    calls: BTreeMap<String, VecDeque<CounterCall>>,
}

impl PendingCalls {
    pub(super) fn push(&mut self, name: String, call: CounterCall) {
        self.calls.entry(name).or_default().push_back(call);
    }

    /// The call that a reply belongs to.
    pub(super) fn take_oldest(&mut self, name: &str) -> Option<CounterCall> {
        self.calls.get_mut(name)?.pop_front()
    }

    /// Removes names without calls, which would accumulate as windows pass.
    pub(super) fn remove_unused(&mut self) {
        self.calls.retain(|_, calls| !calls.is_empty());
    }
}
