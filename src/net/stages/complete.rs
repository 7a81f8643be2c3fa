//! Last stage: the end of a call is reported to the decision engine and, where it ends the request, to its client.

use super::Pipeline;
use crate::api::{AttemptIndex, Event, HostId, LoadReport, Nanos, Outcome, RequestId};
use crate::net::engine::{Answer, AttemptId, HostCall, HostCommand};
use crate::net::streaming_body::StreamingBody;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// How a call to a host ended.
pub struct CallResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The value of a good attempt.
    pub value: Vec<u8>,
    /// The load report that came along.
    pub load: LoadReport,
    /// What the answer says of the request's usage.
    pub used: UsageFigures,
}

/// The figures on usage that came with an answer; zero: not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageFigures {
    /// The customer's usage by the host's meter.
    pub metered: u64,
    /// The request's true units, where they were estimated.
    pub units: f64,
}

impl From<Outcome> for CallResult {
    fn from(outcome: Outcome) -> Self {
        CallResult {
            outcome,
            value: Vec::new(),
            load: LoadReport::default(),
            used: UsageFigures::default(),
        }
    }
}

/// Gives a request its final answer; false where it is no longer open.
pub fn answer(pipeline: &Pipeline, id: RequestId, answer: Answer) -> bool {
    let reply_to = pipeline.engine.close_request(id);
    let open = reply_to.is_some();
    tracing::debug!(request = format_args!("{:016x}", id.0), open, "answered");
    if let Some(reply_to) = reply_to {
        reply_to.frontend.answer(reply_to.place, answer);
    }
    open
}

/// The client of a request has gone: no answer is due any more.
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
    if answer(pipeline, id, Answer::Failed) {
        pipeline.engine.handle(Event::Abandoned { id });
    }
}

/// The answer of a request begins: a long value, which is streamed. False where nobody waits for it.
pub fn begin_streaming(pipeline: &Pipeline, call: &HostCall, body: &Rc<StreamingBody>) -> bool {
    let HostCommand::Attempt { id, attempt, .. } = call.command else {
        return false;
    };
    let is_open = answer(pipeline, id, Answer::Streaming(body.clone()));
    if is_open {
        pipeline.engine.handle(Event::StreamStarted {
            id,
            attempt: AttemptIndex(attempt),
            host: call.host,
            elapsed: elapsed(call),
        });
    }
    is_open
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
    pipeline
        .engine
        .requests()
        .borrow_mut()
        .end_attempt(attempt_id);
    if result.outcome == Outcome::Good {
        // A streamed answer has closed the request already.
        answer(pipeline, id, Answer::Served(result.value));
    }
    pipeline.engine.handle(Event::AttemptDone {
        id,
        attempt: AttemptIndex(attempt),
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
        attempt = attempt_id.attempt,
        host = host.0,
        ?outcome,
        elapsed = ?call.started_at.elapsed(),
        "attempt ended"
    );
}

fn elapsed(call: &HostCall) -> Nanos {
    call.started_at.elapsed().as_nanos() as Nanos
}
