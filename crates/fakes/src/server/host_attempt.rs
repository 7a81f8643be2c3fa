//! One attempt at a fake host. The simulation's model queues it, executes it or drops it as a duplicate; the answer
//! follows the outcome that the scenario chooses.

use crate::context::{Context, DeduplicationKey};
use crate::resp::CommandStream;
use crate::task::spawn;
use quartzcleat_decision::api::{
    AttemptIndex, ClassIndex, DedupScope, Effect, LimiterIndex, Nanos, Outcome, RequestId,
};
use quartzcleat_invariants::{Fact, HostIndex};
use quartzcleat_simulation::host::{Arrival, AttemptKey, HostStatus};
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::{AttemptOutcome, Scenario, ScenarioEvent};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// The work of a request whose class has none in the scenario: its execution time on a core of speed 1, in nanoseconds.
const DEFAULT_WORK: Nanos = 100_000_000;
/// The time that a host takes to answer a duplicate without executing it, in nanoseconds.
const DUPLICATE_TIME: Nanos = 1_000_000;

/// Whether the connection of an attempt stays open after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterAttempt {
    KeepOpen,
    Close,
}

/// How the host ends an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostReply {
    Value,
    Busy,
    Error,
    /// The connection is closed without an answer.
    Reset,
    /// The connection stays open without an answer.
    NoAnswer,
}

/// An attempt that has reached a host.
#[derive(Clone, Copy)]
struct Attempt {
    host: HostIndex,
    key: AttemptKey,
    class: ClassIndex,
    /// The operation that the client wants executed.
    operation: u64,
}

/// Serves one attempt: executes it, writes its answer and records its end.
pub(crate) async fn serve(
    context: &Rc<Context>,
    limiter: LimiterIndex,
    host: HostIndex,
    request: RequestId,
    stream: &mut CommandStream,
) -> io::Result<AfterAttempt> {
    let Some(attempt) = begin(context, limiter, host, request) else {
        // No client sent this request.
        return Ok(AfterAttempt::Close);
    };
    let reply = tokio::select! {
        reply = execute(context, &attempt) => reply,
        () = stream.closed() => {
            // The limiter cancelled the attempt: it leaves the host's queue.
            context.hosts.borrow_mut()[host.0].model.cancel(attempt.key);
            record_end(context, &attempt, Outcome::Cancelled);
            return Ok(AfterAttempt::Close);
        }
    };
    sleep(context.network_delay(limiter, host) * 2).await;
    answer(context, &attempt, reply, stream).await
}

/// Counts and records an attempt. Returns `None` if its request is unknown.
fn begin(
    context: &Context,
    limiter: LimiterIndex,
    host: HostIndex,
    request: RequestId,
) -> Option<Attempt> {
    let attempt = {
        let mut requests = context.requests.borrow_mut();
        let state = requests.get_mut(&request)?;
        state.attempts += 1;
        Attempt {
            host,
            key: AttemptKey {
                limiter,
                request,
                attempt: AttemptIndex(state.attempts - 1),
            },
            class: state.class,
            operation: state.operation,
        }
    };
    let capacity_factor = {
        let hosts = context.hosts.borrow();
        hosts[host.0]
            .model
            .capacity_factor(&context.scenario.ground_truth, context.now())
    };
    context.record(Fact::AttemptSent {
        limiter,
        request,
        attempt: attempt.key.attempt,
        host,
        warming_up: capacity_factor < 1.0,
    });
    Some(attempt)
}

fn record_end(context: &Context, attempt: &Attempt, outcome: Outcome) {
    context.record(Fact::AttemptEnded {
        request: attempt.key.request,
        attempt: attempt.key.attempt,
        outcome,
    });
}

/// Writes the answer. The end is recorded first, since the limiter may send its next attempt as soon as the answer is
/// written, before this task resumes.
async fn answer(
    context: &Context,
    attempt: &Attempt,
    reply: HostReply,
    stream: &mut CommandStream,
) -> io::Result<AfterAttempt> {
    match reply {
        HostReply::Value => {
            let text = value_text(context, attempt);
            record_end(context, attempt, Outcome::Good);
            stream.write(&text).await?;
        }
        HostReply::Busy => {
            record_end(context, attempt, Outcome::Rejected);
            stream.write("-BUSY\r\n").await?;
        }
        HostReply::Error => {
            record_end(context, attempt, Outcome::Error);
            stream.write("-ERR failed\r\n").await?;
        }
        HostReply::Reset => {
            record_end(context, attempt, Outcome::Reset);
            return Ok(AfterAttempt::Close);
        }
        HostReply::NoAnswer => {
            stream.closed().await;
            record_end(context, attempt, Outcome::Timeout);
            return Ok(AfterAttempt::Close);
        }
    }
    Ok(AfterAttempt::KeepOpen)
}

/// Encodes a successful answer, which reports the operation's true cost if the scenario has one, and records that cost.
fn value_text(context: &Context, attempt: &Attempt) -> String {
    let request = attempt.key.request;
    let cost = cost(&context.scenario, attempt.operation);
    let report = if cost > 0.0 {
        context.record(Fact::UnitsSettled {
            request,
            units: cost,
        });
        let report = format!("cost={cost}");
        format!("${}\r\n{report}", report.len())
    } else {
        "$-1".to_owned()
    };
    format!("*3\r\n$16\r\n{:016x}\r\n{report}\r\n$-1\r\n", request.0)
}

/// Returns the true cost of an operation in units, or zero if the scenario has none.
fn cost(scenario: &Scenario, operation: u64) -> f64 {
    let request = scenario.steps.iter().find_map(|step| match &step.event {
        ScenarioEvent::Request(request) if request.operation == operation => Some(request),
        _ => None,
    });
    request.map_or(0.0, |request| request.true_units)
}

/// Executes an attempt, unless the scenario's outcome for it ends it earlier. Returns the host's reply.
async fn execute(context: &Rc<Context>, attempt: &Attempt) -> HostReply {
    let number = attempt.key.attempt.as_usize();
    let outcome = context.choose(
        ChoicePoint::Attempt,
        number,
        &context.scenario.attempt_outcomes,
    );
    let outcome = outcome.unwrap_or(AttemptOutcome::Normal);
    match outcome {
        AttemptOutcome::Rejected | AttemptOutcome::ConnectionRefused => return HostReply::Busy,
        AttemptOutcome::ResetBeforeExecution => return HostReply::Reset,
        AttemptOutcome::RequestLost => return HostReply::NoAnswer,
        AttemptOutcome::Normal
        | AttemptOutcome::Error
        | AttemptOutcome::ResetAfterExecution
        | AttemptOutcome::AnswerLost
        | AttemptOutcome::Late => {}
    }
    if let Err(reply) = acquire_core(context, attempt).await {
        return reply;
    }
    let done = start_work(context, attempt);
    match outcome {
        AttemptOutcome::Error => return HostReply::Error,
        AttemptOutcome::ResetAfterExecution => return HostReply::Reset,
        AttemptOutcome::AnswerLost => return HostReply::NoAnswer,
        _ => {}
    }
    // The task always sends at the end of the work, so an error would carry no information.
    let _ = done.await;
    if outcome == AttemptOutcome::Late {
        sleep(latency_objective(context, attempt.class)).await;
    }
    if context.hosts.borrow()[attempt.host.0].model.status == HostStatus::Unreachable {
        return HostReply::NoAnswer;
    }
    HostReply::Value
}

fn work(context: &Context, class: ClassIndex) -> Nanos {
    let work = &context.scenario.work;
    work.get(class.as_usize()).copied().unwrap_or(DEFAULT_WORK)
}

fn latency_objective(context: &Context, class: ClassIndex) -> Duration {
    let class = context.scenario.ground_truth.classes.get(class.as_usize());
    Duration::from_nanos(class.map_or(0, |class| class.latency_objective))
}

/// Waits until the host has a free core for the attempt.
///
/// # Errors
/// Returns the host's reply if the attempt never gets a core.
async fn acquire_core(context: &Rc<Context>, attempt: &Attempt) -> Result<(), HostReply> {
    let now = context.now();
    let work = work(context, attempt.class);
    let arrival = context.hosts.borrow_mut()[attempt.host.0].model.receive(
        attempt.key,
        work,
        &context.scenario.ground_truth,
        now,
    );
    match arrival {
        Arrival::Started => Ok(()),
        Arrival::Queued => {
            let started = context.hosts.borrow_mut()[attempt.host.0].enqueue(attempt.key);
            started.await.map_err(|_| HostReply::Reset)
        }
        Arrival::Rejected => Err(HostReply::Busy),
        Arrival::ConnectionRefused => Err(HostReply::Reset),
        Arrival::Lost => Err(HostReply::NoAnswer),
        Arrival::Overloads => {
            context.record(Fact::HostOverloaded { host: attempt.host });
            context.end_host(attempt.host, HostStatus::Dead);
            Err(HostReply::Reset)
        }
    }
}

/// Starts the work and returns a receiver that resolves at its end. The work continues if its connection is closed.
fn start_work(context: &Rc<Context>, attempt: &Attempt) -> oneshot::Receiver<()> {
    let host = attempt.host;
    let deduplicated = register_execution(context, attempt);
    context.record(Fact::Executed {
        host,
        request: attempt.key.request,
        deduplicated,
    });
    let work = work(context, attempt.class);
    let (duration, process_start) = {
        let model = &context.hosts.borrow()[host.0].model;
        let duration = if deduplicated {
            DUPLICATE_TIME
        } else {
            model.execution_time(work, &context.scenario.ground_truth, context.now())
        };
        (Duration::from_nanos(duration), model.started)
    };
    let (finish, finished) = oneshot::channel();
    let context = context.clone();
    spawn(async move {
        sleep(duration).await;
        context.hosts.borrow_mut()[host.0].finish_job(process_start);
        // The receiver is gone if the attempt did not wait for the end of its work.
        let _ = finish.send(());
    });
    finished
}

/// Returns whether the host's group has executed the attempt's operation within the deduplication window of its class.
/// If it has not, records the execution.
fn register_execution(context: &Context, attempt: &Attempt) -> bool {
    let class = context
        .scenario
        .ground_truth
        .classes
        .get(attempt.class.as_usize());
    let Some(class) = class.filter(|class| class.effect == Effect::IdempotentWithKey) else {
        return false;
    };
    let description = &context.scenario.processes.hosts[attempt.host.0];
    let group = match class.dedup_scope {
        DedupScope::All => 0,
        DedupScope::Zone => description.zone.0 + 1,
        DedupScope::Cell => description.cell.0 + 1,
    };
    let key = DeduplicationKey {
        group,
        operation: attempt.operation,
    };
    context.register_execution(key, class.dedup_window)
}
