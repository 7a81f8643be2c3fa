//! Release of queued requests, and the times that a request may wait.

use super::dispatch::Dispatch;
use super::request::{PendingRequest, RequestState};
use super::RequestLifecycle;
use crate::api::{Nanos, RequestId};
use crate::context::Context;
use crate::time::{to_nanos, to_seconds};
use std::cmp::Reverse;

/// A request is queued for at most this part of its latency objective, and retried after as long again.
const QUEUE_OBJECTIVE_FRACTION: f64 = 0.25;
/// A queued request is rejected when fewer mean answer times than this are left until its objective.
const MIN_ANSWER_TIMES_LEFT: u64 = 3;
/// Lower bounds of a request's work and weight rate, which are divided by.
const MIN_WORK_SECONDS: f64 = 0.001;
const MIN_WEIGHT_RATE: f64 = 1e-9;

/// Whether hosts may take further requests during a release.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostCapacity {
    Available,
    /// No host has capacity for any request: none of the remaining ones needs to be tried.
    Exhausted,
}

impl RequestLifecycle {
    /// Handles the timer of the queue.
    pub(crate) fn on_release_timer(&mut self, context: &mut Context) {
        self.queue.clear_timer();
        self.release_queue(context);
    }

    /// Dispatches queued requests by descending weight rate. Rejects those that cannot be answered in time.
    pub(crate) fn release_queue(&mut self, context: &mut Context) {
        let queued = self.take_queue_by_weight_rate(context);
        // Hosts that are listed, but not ready, leave nothing to wait for.
        let has_no_ready_host = !self.hosts.is_empty() && self.hosts.ready_count() == 0;
        let mut capacity = HostCapacity::Available;
        for id in queued {
            let Some(request) = self.requests.in_state(id, RequestState::Queued) else {
                continue;
            };
            // Past its time in the queue, another limiter may have capacity sooner.
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

    /// Empties the queue: the requests with the highest weight rate first, in their order among equals.
    fn take_queue_by_weight_rate(&mut self, context: &Context) -> Vec<RequestId> {
        let mut queued = self.queue.take_all();
        queued.sort_by_cached_key(|id| {
            let request = self.requests.get(*id);
            // Positive numbers order like their bits.
            Reverse(request.map(|request| self.weight_rate(request, context).to_bits()))
        });
        queued
    }

    /// Whether too little time is left for an answer within the objective.
    fn is_too_late(&self, request: &PendingRequest, context: &Context) -> bool {
        let answer_times = MIN_ANSWER_TIMES_LEFT * self.expected_latency(request);
        context.now() + answer_times > request.objective_deadline(context)
    }

    /// Priority weight per second of work. In a shortage, requests of a high rate wait least.
    pub(super) fn weight_rate(&self, request: &PendingRequest, context: &Context) -> f64 {
        let work = to_seconds(self.expected_latency(request)).max(MIN_WORK_SECONDS);
        let weight_factor = context.plan(request.plan()).weight_factor;
        let weight = context.class(request.class()).priority_weight * weight_factor;
        (weight / work).max(MIN_WEIGHT_RATE)
    }

    /// Mean answer time of the request's class.
    pub(super) fn expected_latency(&self, request: &PendingRequest) -> Nanos {
        self.hosts.mean_latency(request.class())
    }
}

/// Backoff for the client of a rejected request: short enough for a retry to meet the objective, else the
/// longest, since a retry past the objective is load without weight. Harmful if rejections are expensive.
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

/// How long a request is queued at most.
fn max_queue_time(request: &PendingRequest, context: &Context) -> Nanos {
    let objective = request.objective_deadline(context) - request.arrived_at;
    to_nanos(to_seconds(objective) * QUEUE_OBJECTIVE_FRACTION)
}
