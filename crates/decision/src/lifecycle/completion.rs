//! Completion: results of attempts and the final answer to a request.

use super::attempt::{AttemptEnd, AttemptKey};
use super::release::retry_after;
use super::request::{PendingRequest, RequestState};
use super::RequestLifecycle;
use crate::api::{Action, Class, DedupScope, Effect, Nanos, Outcome, RequestId};
use crate::context::Context;
use crate::hosts::{AttemptResult, SentAttempt};
use crate::objective::objective_ratio;
use crate::quota::Correction;

impl RequestLifecycle {
    /// Handles the start of a streamed answer. The host's work is done by then, however long the client
    /// takes to read the answer. The customer's limit on concurrent attempts still counts the attempt.
    pub(crate) fn on_stream_started(
        &mut self,
        key: AttemptKey,
        elapsed: Nanos,
        context: &mut Context,
    ) {
        self.requests
            .set_state(key.request, RequestState::Streaming);
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.has_stream_started {
            return;
        }
        attempt.has_stream_started = true;
        let sent = attempt.sent;
        let result = AttemptResult {
            outcome: Outcome::Good,
            elapsed,
        };
        self.record_result(&sent, &result, context);
        self.release_queue(context);
    }

    /// Handles the end of an attempt, which may lead to a retry or to the final answer.
    pub(crate) fn on_attempt_done(
        &mut self,
        key: AttemptKey,
        end: AttemptEnd,
        context: &mut Context,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        let outcome = end.result.outcome;
        self.quotas.record_attempt_end(attempt.customer);
        if !attempt.has_stream_started {
            self.record_result(&attempt.sent, &end.result, context);
        }
        if outcome.never_ran() {
            self.clear_first_run(key);
            self.abandoned_runs.record_never_ran(key);
        }
        self.settle_units(key.request, &end, context);
        if end.is_request_finished {
            self.requests.remove(key.request);
        } else {
            self.retry_or_finish(key.request, attempt.sent.host, outcome, context);
        }
        self.release_queue(context);
    }

    /// Records the result of an attempt in the measurements of its host and of the overall load.
    fn record_result(
        &mut self,
        attempt: &SentAttempt,
        result: &AttemptResult,
        context: &mut Context,
    ) {
        self.hosts.end_attempt(attempt);
        if matches!(result.outcome, Outcome::Cancelled | Outcome::NeverSent) {
            return;
        }
        let ratio = match result.outcome {
            // A rejecting host has no capacity, however fast it rejects.
            Outcome::Rejected => 1.0,
            _ => objective_ratio(result.elapsed, context.class(attempt.class)),
        };
        // An answer past its objective was already recorded when the objective was missed.
        if matches!(result.outcome, Outcome::Rejected | Outcome::Good) && ratio <= 1.0 {
            self.record_objective_ratio(ratio, context);
        }
        self.hosts.record_result(attempt, result, context);
        if result.outcome == Outcome::Good {
            self.shedder.record_success(ratio);
        }
    }

    /// Adjusts the concurrency limit over all hosts and the admission ratio by an answer time, given as a
    /// multiple of its latency objective.
    pub(super) fn record_objective_ratio(&mut self, ratio: f64, context: &Context) {
        self.hosts.adjust_pool_limit(ratio, context);
        self.shedder.record_answer(ratio, context.now());
    }

    /// Clears the first run of a request if it was this attempt: an attempt that did not run does not restrict
    /// retries.
    fn clear_first_run(&mut self, key: AttemptKey) {
        if let Some(request) = self.requests.get_mut(key.request) {
            request.first_run = request.first_run.filter(|run| run.attempt != key.attempt);
        }
    }

    /// Corrects the customer's count to the request's true units, up to the larger of `largest_request` and
    /// the claimed units.
    fn settle_units(&mut self, id: RequestId, end: &AttemptEnd, context: &mut Context) {
        let units = &context.settings().units;
        let is_settled =
            units.are_estimates && end.result.outcome == Outcome::Good && end.true_units > 0.0;
        if !is_settled {
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let claim = request.claim;
        let true_units = end.true_units.min(units.largest_request.max(claim.units));
        let correction = true_units - claim.units;
        self.quotas
            .adjust(&claim, correction, Correction::Settlement, context);
    }

    /// Finishes a request that got no answer from a host: rejects it if a retry would repeat no effect,
    /// otherwise fails it. Cancels the attempt in flight, if cancellation is allowed.
    pub(super) fn finish(&mut self, id: RequestId, context: &mut Context) {
        let Some(request) = self.remove_and_refund(id, context) else {
            return;
        };
        if request.state == RequestState::InFlight && context.settings().capabilities.cancel {
            context.push(Action::CancelAttempt {
                id,
                attempt: request.latest_attempt(),
            });
        }
        let is_safe = is_retry_safe(&request, context.class(request.class()));
        let retry_after = retry_after(&request, context);
        context.push(if is_safe {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    /// Handles a request whose client closed its connection: the request is removed without an answer. It is remembered if it
    /// may have run and must not run again, since its client may send it once more.
    pub(crate) fn on_abandoned(&mut self, id: RequestId, context: &mut Context) {
        let Some(request) = self.remove_and_refund(id, context) else {
            return;
        };
        if is_retry_safe(&request, context.class(request.class())) {
            return;
        }
        if let Some(run) = request.first_run {
            let key = AttemptKey {
                request: id,
                attempt: run.attempt,
            };
            self.abandoned_runs.remember(key, context.now());
        }
    }

    /// Removes a request. Refunds its units if it never ran, whether the limiter or the client ended it.
    fn remove_and_refund(
        &mut self,
        id: RequestId,
        context: &mut Context,
    ) -> Option<PendingRequest> {
        let request = self.requests.remove(id)?;
        if request.first_run.is_none() {
            self.refund(&request.claim, context);
        }
        Some(request)
    }
}

/// Returns whether a retry by the client, at any limiter, would repeat no effect.
fn is_retry_safe(request: &PendingRequest, class: &Class) -> bool {
    let is_deduplicated =
        class.effect == Effect::IdempotentWithKey && class.dedup_scope == DedupScope::All;
    request.first_run.is_none() || class.effect == Effect::Idempotent || is_deduplicated
}
