//! Dispatch: sends the attempts of admitted requests to hosts.

use super::attempt::{AttemptKey, InFlightAttempt};
use super::request::{FirstRun, PendingRequest, RequestState};
use super::retry::begins_within;
use super::RequestLifecycle;
use crate::api::{Action, AttemptIndex, HostId, RequestId};
use crate::context::Context;
use crate::hosts::{HostRequirements, SentAttempt};

/// Result of dispatching a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Dispatch {
    /// An attempt was sent, or the request already has its final answer.
    Sent,
    /// The customer's hard ceiling, its limit on concurrent attempts, an expired deduplication window, or the
    /// hosts of the request's deduplication scope prevent an attempt. Other requests may be dispatched.
    RequestLimited,
    /// No host has capacity for any request.
    NoHost,
}

impl RequestLifecycle {
    /// Dispatches an admitted request, or queues it if others are queued or it cannot be sent yet.
    pub(super) fn admit(&mut self, id: RequestId, context: &mut Context) {
        self.requests.set_state(id, RequestState::Queued);
        if !self.queue.is_empty() || self.dispatch(id, context) != Dispatch::Sent {
            self.queue.push_back(id);
            self.queue.set_timer(context);
        }
    }

    /// Sends the request's next attempt if quota limits, deduplication window and hosts allow it.
    pub(super) fn dispatch(&mut self, id: RequestId, context: &mut Context) -> Dispatch {
        let Some(request) = self.requests.get(id).cloned() else {
            return Dispatch::Sent;
        };
        if self.is_request_limited(&request, context) {
            return Dispatch::RequestLimited;
        }
        if self.hosts.is_full(context) {
            return Dispatch::NoHost;
        }
        let first_run = request.first_run.map(|run| run.location);
        let requirements = HostRequirements {
            first_run,
            ..request.requirements
        };
        let Some(host) = self.hosts.select_host(&requirements, context) else {
            return if first_run.is_some() {
                Dispatch::RequestLimited
            } else {
                Dispatch::NoHost
            };
        };
        self.send_attempt(id, &request, host, context);
        Dispatch::Sent
    }

    /// Returns whether the customer's hard ceiling, its limit on concurrent attempts, or the deduplication window
    /// forbids an attempt. The ceiling and the limit are checked only for the first attempt.
    fn is_request_limited(&mut self, request: &PendingRequest, context: &Context) -> bool {
        let is_first = request.attempts == 0;
        if is_first && self.quotas.is_ceiling_exhausted(&request.claim, context) {
            return true;
        }
        if begins_within(request, context) == 0 {
            return true;
        }
        is_first && !self.quotas.has_attempt_capacity(&request.claim, context)
    }

    fn send_attempt(
        &mut self,
        id: RequestId,
        request: &PendingRequest,
        host: HostId,
        context: &mut Context,
    ) {
        self.record_attempt_cost(request, context);
        let sent_at = context.now();
        let key = AttemptKey {
            request: id,
            attempt: AttemptIndex(request.attempts),
        };
        let in_flight = InFlightAttempt {
            sent: SentAttempt {
                request: id,
                host,
                class: request.class(),
                sent_at,
            },
            customer: request.claim.customer,
            has_stream_started: false,
        };
        self.attempts.insert(key, in_flight);
        let location = self.hosts.begin_attempt(id, host, sent_at);
        // Until its outcome proves otherwise, this attempt may have run.
        let run = location.map(|location| FirstRun {
            attempt: key.attempt,
            location,
            sent_at,
        });
        if let Some(request) = self.requests.get_mut(id) {
            request.state = RequestState::InFlight;
            request.attempts += 1;
            request.first_run = request.first_run.or(run);
        }
        context.push(Action::Attempt {
            id,
            host,
            timeout: request.deadline.saturating_sub(sent_at),
            begins_within: begins_within(request, context),
        });
    }

    /// Records an attempt against the customer's hard ceiling and its limit on concurrent attempts. Adds what a
    /// first attempt earns to the retry budget, and caps the budget.
    fn record_attempt_cost(&mut self, request: &PendingRequest, context: &Context) {
        if request.attempts == 0 {
            self.quotas.record_first_attempt(&request.claim, context);
            self.retry_budget.earn();
        } else {
            self.quotas.record_retry(&request.claim);
        }
        self.retry_budget.limit(context.settings().limiters.count);
    }
}
