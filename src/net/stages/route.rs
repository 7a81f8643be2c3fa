//! Third stage: executes the actions of the decision engine, in the order in which it returns them.

use super::pipeline::Pipeline;
use super::{complete, dispatch};
use crate::api::{Action, AttemptIndex, Event, LogEvent, Nanos, Timer};
use crate::net::engine::{Answer, AttemptId, AttemptNotAllowed, AttemptOrder};
use crate::net::task::{spawn, BoundTask};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

/// Executes one action.
pub fn execute(pipeline: &Rc<Pipeline>, action: Action) {
    match action {
        Action::Attempt {
            id,
            host,
            timeout,
            begins_within,
        } => begin_attempt(
            pipeline,
            AttemptOrder {
                id,
                host,
                timeout,
                begins_within,
            },
        ),
        Action::CancelAttempt { id, attempt } => {
            let attempt_id = AttemptId {
                request: id,
                attempt,
            };
            pipeline.engine.cancel_attempt(attempt_id);
        }
        Action::Reject { id, retry_after } => {
            let retry_after = advised_wait(pipeline, retry_after);
            complete::answer(pipeline, id, Answer::Rejected { retry_after });
        }
        Action::Fail { id } => {
            complete::answer(pipeline, id, Answer::Failed);
        }
        Action::SetTimer { timer, after } => set_timer(pipeline, timer, after),
        Action::Count {
            name,
            amount,
            keep_for,
        } => pipeline.counter.call(name, amount, keep_for),
        Action::HealthCheck { host } => dispatch::check_health(pipeline, host),
        Action::CloseIdle { host } => pipeline.upstream.close_idle(host),
        Action::Log { event } => log(event),
        // The discovery client always watches discovery, and fetches the complete list after each gap. Limiters have no
        // connections to each other, so the engine's messages to them are dropped.
        Action::Watch { .. } | Action::FetchHosts | Action::MessagePeers { .. } => {}
    }
}

/// Logs a condition that the engine reports.
fn log(event: LogEvent) {
    match event {
        LogEvent::CounterDegraded => tracing::info!("counter degraded"),
        LogEvent::CounterRecovered => tracing::info!("counter recovered"),
        LogEvent::HostFailing {
            host,
            consecutive_failures,
        } => tracing::info!(host = host.0, consecutive_failures, "host failing"),
    }
}

fn begin_attempt(pipeline: &Rc<Pipeline>, order: AttemptOrder) {
    match pipeline.engine.begin_attempt(order) {
        Ok(call) => dispatch::send(pipeline, call),
        Err(AttemptNotAllowed { attempt }) => report_never_sent(pipeline, order, attempt),
    }
}

fn report_never_sent(pipeline: &Pipeline, order: AttemptOrder, attempt: AttemptIndex) {
    let AttemptOrder { id, host, .. } = order;
    pipeline
        .engine
        .handle(Event::attempt_never_sent(id, attempt, host));
}

/// Returns the wait that a rejection advises; zero if the configuration turns the advice off.
fn advised_wait(pipeline: &Pipeline, retry_after: Nanos) -> Duration {
    if pipeline.limits.requests.sends_retry_after.get() {
        Duration::from_nanos(retry_after)
    } else {
        Duration::ZERO
    }
}

fn set_timer(pipeline: &Rc<Pipeline>, timer: Timer, after: Nanos) {
    let fires_at = pipeline.engine.event_time() + Duration::from_nanos(after);
    let timer_pipeline = pipeline.clone();
    let firing = async move {
        sleep_until(fires_at).await;
        timer_pipeline.engine.handle(Event::Timer { timer });
    };
    match timer {
        Timer::Deadline { id } | Timer::LatencyObjective { id } | Timer::CounterWait { id } => {
            pipeline.engine.bind_timer(id, BoundTask::spawn(firing));
        }
        Timer::ReleaseQueue | Timer::WatchHosts | Timer::Sweep => spawn(firing),
    }
}
