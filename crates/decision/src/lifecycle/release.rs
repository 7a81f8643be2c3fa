//! Release of queued requests, and the limits on their waiting time.

use super::dispatch::Dispatch;
use super::request::{PendingRequest, RequestState};
use super::RequestLifecycle;
use crate::api::{Nanos, RequestId};
use crate::context::Context;
use crate::time::{to_nanos, to_seconds};
use std::cmp::Reverse;

/// Maximum queueing time as a fraction of the latency objective. A rejected client is asked to retry after the
/// same time.
const QUEUE_OBJECTIVE_FRACTION: f64 = 0.25;
/// Minimum time left until a queued request's objective, as a multiple of the mean answer time of its class.
/// With less time left, the request is rejected.
const MIN_REMAINING_LATENCIES: u64 = 3;
/// Lower bound of a request's work, which is used as a divisor, in seconds.
const MIN_WORK_SECONDS: f64 = 0.001;
/// Lower bound of a request's weight rate, which is used as a divisor, in priority weight per second of work.
const MIN_WEIGHT_RATE: f64 = 1e-9;

/// Capacity of the hosts during a release.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostCapacity {
    /// Some host may have capacity.
    Available,
    /// No host has capacity for any request, so the remaining ones are not tried.
    Exhausted,
}

impl RequestLifecycle {
    /// Handles the release timer of the queue.
    pub(crate) fn on_release_timer(&mut self, context: &mut Context) {
        self.queue.clear_timer();
        self.release_queue(context);
    }

    /// Dispatches queued requests by descending weight rate. Finishes those that can no longer meet their
    /// objective, and new ones that are past their maximum queueing time.
    pub(crate) fn release_queue(&mut self, context: &mut Context) {
        let queued = self.remove_queued_by_weight_rate(context);
        // If hosts are known but none is ready, new requests do not wait. Before the first host list, they do.
        let has_no_ready_host = !self.hosts.is_empty() && self.hosts.ready_count() == 0;
        let mut capacity = HostCapacity::Available;
        for id in queued {
            let Some(request) = self.requests.in_state(id, RequestState::Queued) else {
                continue;
            };
            // A new request past its queueing time is rejected, as another limiter may have capacity sooner.
            let is_new = request.attempts == 0;
            let is_past_limit = has_no_ready_host || is_past_queue_time(request, context);
            if is_new && is_past_limit || self.is_too_late(request, context) {
                self.finish(id, context);
                continue;
            }
            let result = match capacity {
                HostCapacity::Available => self.dispatch(id, context),
                HostCapacity::Exhausted => Dispatch::NoHost,
            };
            if result == Dispatch::NoHost {
                capacity = HostCapacity::Exhausted;
            }
            if result != Dispatch::Sent {
                self.queue.push_back(id);
            }
        }
        self.queue.set_timer(context);
    }

    /// Removes all ids from the queue and returns them by descending weight rate, in queue order among equals.
    fn remove_queued_by_weight_rate(&mut self, context: &Context) -> Vec<RequestId> {
        let mut queued = self.queue.remove_all();
        queued.sort_by_cached_key(|id| {
            let request = self.requests.get(*id);
            // Positive floats order like their bit patterns.
            Reverse(request.map(|request| self.weight_rate(request, context).to_bits()))
        });
        queued
    }

    /// Returns whether too little time is left for an answer within the objective.
    fn is_too_late(&self, request: &PendingRequest, context: &Context) -> bool {
        let required_time = MIN_REMAINING_LATENCIES * self.expected_latency(request);
        context.now() + required_time > request.objective_deadline(context)
    }

    /// Returns the priority weight per second of work. When capacity is short, requests with a high rate are
    /// dispatched first.
    pub(super) fn weight_rate(&self, request: &PendingRequest, context: &Context) -> f64 {
        let work = to_seconds(self.expected_latency(request)).max(MIN_WORK_SECONDS);
        let weight_factor = context.plan(request.plan()).weight_factor;
        let weight = context.class(request.class()).priority_weight * weight_factor;
        (weight / work).max(MIN_WEIGHT_RATE)
    }

    /// Returns the mean answer time of the request's class; zero before its first answer.
    pub(super) fn expected_latency(&self, request: &PendingRequest) -> Nanos {
        self.hosts.mean_latency(request.class())
    }
}

/// Returns the backoff for the client of a rejected request: the maximum queueing time if a retry can then
/// still meet the objective, otherwise the longest backoff, as a retry past the objective is load without
/// weight. The short backoff is harmful if rejections are expensive.
pub(super) fn retry_after(request: &PendingRequest, context: &Context) -> Nanos {
    let wait = max_queue_time(request, context);
    if context.now() + wait < request.objective_deadline(context) {
        wait
    } else {
        context.settings().backoff.longest_retry_after
    }
}

fn is_past_queue_time(request: &PendingRequest, context: &Context) -> bool {
    context.now() > request.arrived_at + max_queue_time(request, context)
}

/// Returns the maximum queueing time of a request.
fn max_queue_time(request: &PendingRequest, context: &Context) -> Nanos {
    let objective = request.objective_deadline(context) - request.arrived_at;
    to_nanos(to_seconds(objective) * QUEUE_OBJECTIVE_FRACTION)
}
