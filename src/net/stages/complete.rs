//! Last stage: reports the end of a call to the decision engine and, if it ends the request, to the client.

use super::pipeline::Pipeline;
use crate::api::{Event, HostId, Nanos, Outcome, RequestId};
use crate::net::engine::{Answer, AttemptId, CallResult, HostCall, HostCommand};
use crate::net::streaming_body::StreamingBody;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Whether an answer reached its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The answer was passed to the frontend, as the final answer to its request.
    Delivered,
    /// The request already had an answer, or its client has disconnected.
    RequestClosed,
}

/// Answers a request if it is still open.
pub fn answer(pipeline: &Pipeline, id: RequestId, answer: Answer) -> Delivery {
    let reply_to = pipeline.engine.close_request(id);
    tracing::debug!(
        request = format_args!("{:016x}", id.0),
        open = reply_to.is_some(),
        answer = answer.kind(),
        "answered"
    );
    match reply_to {
        Some(reply_to) => {
            reply_to.frontend.answer(reply_to.sequence, answer);
            Delivery::Delivered
        }
        None => Delivery::RequestClosed,
    }
}

/// Closes a request whose client has disconnected, without an answer, and reports that to the engine.
pub fn abandon(pipeline: &Pipeline, id: RequestId) {
    let open = pipeline.engine.close_request(id).is_some();
    tracing::debug!(
        request = format_args!("{:016x}", id.0),
        open,
        "client has gone"
    );
    if open {
        pipeline.engine.handle(Event::Abandoned { id });
    }
}

/// Fails a request if it is still open, and reports that to the engine.
pub fn fail_if_open(pipeline: &Pipeline, id: RequestId) {
    if answer(pipeline, id, Answer::Failed) == Delivery::Delivered {
        pipeline.engine.handle(Event::Abandoned { id });
    }
}

/// Answers a request with a long value that is about to be streamed, if the request is still open.
pub fn begin_streaming(pipeline: &Pipeline, call: &HostCall, body: &Rc<StreamingBody>) -> Delivery {
    let HostCommand::Attempt { id, attempt, .. } = call.command else {
        return Delivery::RequestClosed;
    };
    let delivery = answer(pipeline, id, Answer::Streaming(body.clone()));
    if delivery == Delivery::Delivered {
        pipeline.engine.handle(Event::StreamStarted {
            id,
            attempt,
            host: call.host,
            elapsed: elapsed(call),
        });
    }
    delivery
}

/// Reports the end of a call to the engine. The first good attempt of a request answers the client without a decision
/// of the engine.
pub fn complete(pipeline: &Pipeline, call: &HostCall, result: CallResult) {
    match call.command {
        HostCommand::HealthCheck => pipeline.engine.handle(Event::HealthCheckDone {
            host: call.host,
            outcome: result.outcome,
            elapsed: elapsed(call),
            load: result.load,
        }),
        HostCommand::Attempt { id, attempt, .. } => {
            let attempt_id = AttemptId {
                request: id,
                attempt,
            };
            complete_attempt(pipeline, attempt_id, call, result);
        }
    }
}

fn complete_attempt(
    pipeline: &Pipeline,
    attempt_id: AttemptId,
    call: &HostCall,
    result: CallResult,
) {
    let AttemptId {
        request: id,
        attempt,
    } = attempt_id;
    let elapsed = elapsed(call);
    log_end(attempt_id, call.host, result.outcome, call);
    pipeline.engine.end_attempt(attempt_id);
    if result.outcome == Outcome::Good {
        // Has no effect on a streamed answer, which has already closed the request.
        answer(pipeline, id, Answer::Served(result.value));
    }
    pipeline.engine.handle(Event::AttemptDone {
        id,
        attempt,
        host: call.host,
        outcome: result.outcome,
        elapsed,
        // Set by the engine driver just before it passes the event to the engine.
        is_request_finished: false,
        metered_use: result.usage.metered,
        true_units: result.usage.units,
        load: result.load,
    });
}

fn log_end(attempt_id: AttemptId, host: HostId, outcome: Outcome, call: &HostCall) {
    tracing::debug!(
        request = format_args!("{:016x}", attempt_id.request.0),
        attempt = attempt_id.attempt.0,
        host = host.0,
        ?outcome,
        elapsed = ?call.started_at.elapsed(),
        "attempt ended"
    );
}

fn elapsed(call: &HostCall) -> Nanos {
    call.started_at.elapsed().as_nanos() as Nanos
}
