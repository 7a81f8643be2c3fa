//! The clients: they send requests, receive answers and retry.

use super::{Simulation, Stopped};
use crate::event_queue::Event;
use crate::scenario::ClientRequest;
use quartzcleat_decision::api::{LimiterIndex, Nanos, RequestId};
use quartzcleat_invariants::{Answer, Fact};
use std::collections::BTreeMap;

/// How long before its deadline a limiter fails an unanswered request: 2 ms.
pub(super) const ANSWER_MARGIN: Nanos = 2_000_000;
/// Interval at which a client with a pending retry checks whether the earlier request has ended: 1 ms.
const RETRY_POLL_INTERVAL: Nanos = 1_000_000;
/// Maximum number of requests that a client sends for one operation on its own: the first request and one retry.
const MAX_REQUESTS_OF_OPERATION: u32 = 2;

/// An operation requested by a client, across its first request and its retries.
#[derive(Clone, Debug)]
struct Operation {
    /// The latest request for the operation.
    request: ClientRequest,
    /// The answer received since the latest request was sent; [`Answer::Served`] is not overwritten by a later answer.
    answer: Option<Answer>,
    /// Number of requests sent for the operation.
    requests: u32,
    /// Whether the latest request still awaits its answer.
    is_open: bool,
}

/// The state of all clients.
#[derive(Debug, Default)]
pub(super) struct Clients {
    operations: BTreeMap<u64, Operation>,
    operation_of_request: BTreeMap<RequestId, u64>,
    last_request: u64,
}

impl Clients {
    /// Returns the operation of a request; `None` if the request is unknown.
    pub(super) fn operation_of(&self, request: RequestId) -> Option<u64> {
        self.operation_of_request.get(&request).copied()
    }

    /// Returns the actual units of an operation; 0 if the stated units are exact.
    pub(super) fn true_units(&self, operation: u64) -> f64 {
        self.operations
            .get(&operation)
            .map_or(0.0, |operation| operation.request.true_units)
    }

    /// Closes the requests that await an answer from a limiter, because its connections were lost.
    pub(super) fn disconnect_from(&mut self, limiter: LimiterIndex) {
        for operation in self.operations.values_mut() {
            if operation.request.limiter == limiter {
                operation.is_open = false;
            }
        }
    }

    fn start_request(&mut self, request: &ClientRequest) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let earlier = self.operations.get(&request.operation);
        let operation = Operation {
            request: request.clone(),
            answer: None,
            requests: earlier.map_or(0, |earlier| earlier.requests) + 1,
            is_open: true,
        };
        self.operations.insert(request.operation, operation);
        self.operation_of_request.insert(id, request.operation);
        id
    }
}

impl Simulation<'_> {
    /// Sends a request of a client to its limiter. A retry waits until the operation's earlier request has ended.
    pub(super) fn send_request(&mut self, request: ClientRequest) -> Result<(), Stopped> {
        if request.retry {
            let earlier = self.clients.operations.get(&request.operation);
            if earlier.is_some_and(|earlier| earlier.is_open) {
                // The earlier request still awaits its answer.
                self.schedule(RETRY_POLL_INTERVAL, Event::ClientRequest(request));
                return Ok(());
            }
            if earlier.is_some_and(|earlier| earlier.answer == Some(Answer::Served)) {
                return Ok(());
            }
        }
        if !self.limiters[request.limiter.as_usize()].is_up {
            let limiter = self.scenario.processes.limiter(request.limiter);
            self.record(Fact::Note(format!("{limiter} accepts no connection")));
            return Ok(());
        }
        let id = self.clients.start_request(&request);
        self.receive_request(id, &request)
    }

    /// Delivers the final answer to a request that is still open at its limiter; does nothing otherwise.
    pub(super) fn answer(&mut self, limiter: LimiterIndex, request: RequestId, answer: Answer) {
        let Some(open) = self.limiters[limiter.as_usize()]
            .open_requests
            .remove(&request)
        else {
            return;
        };
        self.record(Fact::Answered { request, answer });
        let Some(operation) = self.clients.operations.get_mut(&open.operation) else {
            return;
        };
        operation.is_open = false;
        if operation.answer != Some(Answer::Served) {
            operation.answer = Some(answer);
        }
        if answer != Answer::Served && operation.requests < MAX_REQUESTS_OF_OPERATION {
            let request = operation.request.clone();
            self.schedule_retry(request, answer);
        }
    }

    /// Schedules a client's retry if the scenario has a retry policy.
    fn schedule_retry(&mut self, mut request: ClientRequest, answer: Answer) {
        let Some(policy) = self.scenario.retry.as_ref() else {
            return;
        };
        request.retry = true;
        if policy.next_limiter && request.limiter_set.count > 1 {
            let limiters = self.limiters.len();
            request.limiter = request.limiter_set.next_after(request.limiter, limiters);
        }
        let retry_after = match answer {
            Answer::Rejected(retry_after) => retry_after,
            Answer::Served | Answer::Failed => 0,
        };
        let delay = policy.delay.max(retry_after);
        self.schedule(delay, Event::ClientRequest(request));
    }
}
