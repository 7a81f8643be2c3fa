//! Last stage: the end of a call is reported to the decision engine and, where it ends the request, to its client.

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
    /// It is the final answer of its request.
    Delivered,
    /// The request had its answer before, or its client has gone.
    RequestClosed,
}

/// Gives a request its final answer, if it is still open.
pub fn answer(pipeline: &Pipeline, id: RequestId, answer: Answer) -> Delivery {
    let reply_to = pipeline.engine.close_request(id);
    let open = reply_to.is_some();
    tracing::debug!(request = format_args!("{:016x}", id.0), open, "answered");
    match reply_to {
        Some(reply_to) => {
            reply_to.frontend.answer(reply_to.place, answer);
            Delivery::Delivered
        }
        None => Delivery::RequestClosed,
    }
}

/// Closes a request whose client has gone, without an answer.
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

/// Fails a request that has no answer yet, and reports that to the engine.
pub fn give_up(pipeline: &Pipeline, id: RequestId) {
    if answer(pipeline, id, Answer::Failed) == Delivery::Delivered {
        pipeline.engine.handle(Event::Abandoned { id });
    }
}

/// Begins to answer a request with a long value, which is streamed.
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

/// Records the end of a call. The first good attempt answers the client by itself.
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
        // A streamed answer has closed the request already.
        answer(pipeline, id, Answer::Served(result.value));
    }
    pipeline.engine.handle(Event::AttemptDone {
        id,
        attempt,
        host: call.host,
        outcome: result.outcome,
        elapsed,
        // The engine driver sets this as it hands the event over.
        is_request_finished: false,
        metered_use: result.used.metered,
        true_units: result.used.units,
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
