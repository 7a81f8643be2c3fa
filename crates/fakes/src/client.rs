//! Fake clients: each request uses its own connection, waits for its single answer, and is retried if the scenario's
//! clients retry.

use crate::context::{Context, RequestState};
use crate::resp::{self, Reply};
use quartzcleat_decision::api::{Effect, Nanos, RequestId};
use quartzcleat_invariants::{Answer, Fact};
use quartzcleat_simulation::scenario::{ClientRequest, RetryPolicy};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How often a retry polls for the answer to the request before it.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How long a client stays connected after its deadline, so that a late answer is recorded as late.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(500);
const NANOS_PER_MS: Nanos = 1_000_000;

/// Checks that a limiter is ready: fails unless it answers `PING` with `+PONG`.
pub(crate) async fn ping(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&resp::encode_command(&["PING"])).await?;
    match read_reply(&mut stream).await? {
        Some(Reply::Line(line)) if line == "+PONG" => Ok(()),
        other => Err(io::Error::other(format!("{other:?}"))),
    }
}

/// Reads one reply. Returns `None` if the connection ends before a complete reply.
async fn read_reply(stream: &mut TcpStream) -> io::Result<Option<Reply>> {
    let mut input = Vec::new();
    loop {
        if let Some(parsed) = resp::parse_reply(&input)? {
            return Ok(Some(parsed.value));
        }
        if !resp::read_more(stream, &mut input).await? {
            return Ok(None);
        }
    }
}

/// Sends a request and, if the scenario's clients retry, retries it once.
pub(crate) async fn run(context: &Context, client_request: ClientRequest) {
    if client_request.retry
        && answer_of_earlier_request(context, client_request.operation).await
            == Some(Answer::Served)
    {
        return;
    }
    let Some(answer) = send(context, &client_request).await else {
        return;
    };
    let Some(retry) = &context.scenario.retry else {
        return;
    };
    if answer == Answer::Served || client_request.retry {
        return;
    }
    let retry_after = match answer {
        Answer::Rejected(retry_after) => retry_after,
        Answer::Served | Answer::Failed => 0,
    };
    sleep(Duration::from_nanos(retry.delay.max(retry_after))).await;
    send(context, &retry_of(context, &client_request, retry)).await;
}

/// Waits for the answer to the request before a retry and returns it, or `None` if the operation had no request.
async fn answer_of_earlier_request(context: &Context, operation: u64) -> Option<Answer> {
    loop {
        let state = context.operations.borrow().get(&operation).copied();
        match state {
            Some(None) => sleep(ANSWER_POLL_INTERVAL).await,
            Some(answer) => return answer,
            None => return None,
        }
    }
}

/// Returns the retry of a request. It goes to the next limiter of the request's set if the retry policy says so.
fn retry_of(
    context: &Context,
    client_request: &ClientRequest,
    retry: &RetryPolicy,
) -> ClientRequest {
    let mut retried = ClientRequest {
        retry: true,
        ..client_request.clone()
    };
    if retry.next_limiter && client_request.limiter_set.count > 1 {
        let limiters = context.scenario.processes.limiters.len();
        retried.limiter = client_request
            .limiter_set
            .next_after(client_request.limiter, limiters);
    }
    retried
}

/// Sends one request and returns its answer, or `None` if it got none.
async fn send(context: &Context, client_request: &ClientRequest) -> Option<Answer> {
    let Some(address) = context.limiter_address(client_request.limiter) else {
        let limiter = context.scenario.processes.limiter(client_request.limiter);
        context.record_note(format!("{limiter} accepts no connection"));
        return None;
    };
    let id = context.next_request();
    let command = request_command(context, client_request, id);
    context
        .operations
        .borrow_mut()
        .insert(client_request.operation, None);
    let state = RequestState {
        class: client_request.class,
        operation: client_request.operation,
        attempts: 0,
    };
    context.requests.borrow_mut().insert(id, state);
    let exchanged = exchange(context, address, &command, id, client_request).await;
    // If the limiter's process has ended, so have its connections, and the client is recorded as gone. If a running
    // limiter closes the connection without an answer, the request stays unanswered in the records.
    if exchanged.is_err() && context.limiter_address(client_request.limiter).is_none() {
        context.record(Fact::ClientLeft { request: id });
    }
    let answer = exchanged.unwrap_or(None);
    let last_answer = answer.or(Some(Answer::Failed));
    context
        .operations
        .borrow_mut()
        .insert(client_request.operation, last_answer);
    answer
}

/// Encodes a request as the platform's command.
fn request_command(context: &Context, client_request: &ClientRequest, id: RequestId) -> Vec<u8> {
    let settings = &context.scenario.settings;
    let class = &settings.classes[client_request.class.as_usize()];
    let plan = settings.plans.get(client_request.plan.as_usize());
    let plan = plan.map_or("", |plan| plan.name.as_str());
    let wait_ms = client_request.timeout.div_ceil(NANOS_PER_MS);
    let mut attributes = format!("c={},t={plan},d={wait_ms}", class.name);
    if class.effect == Effect::IdempotentWithKey {
        let key = format!(",k={:016x}", client_request.operation);
        attributes += &key;
    }
    let units_and_limiters = format!(
        ",units={},spread={},first={}",
        client_request.units, client_request.limiter_set.count, client_request.limiter_set.first
    );
    attributes += &units_and_limiters;
    let verb = if class.effect == Effect::Idempotent {
        "Q.ASK"
    } else {
        "Q.DO"
    };
    let customer = format!("{:016x}", client_request.partner.0 + 1);
    resp::encode_command(&[verb, &customer, &wire_id(id), &attributes])
}

/// Formats a request id as on the wire: 16 hex digits.
fn wire_id(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

/// Sends a command on a new connection and returns its answer, or `None` if it does not arrive in time.
async fn exchange(
    context: &Context,
    address: SocketAddr,
    command: &[u8],
    id: RequestId,
    client_request: &ClientRequest,
) -> io::Result<Option<Answer>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    // Recorded before it is written, since the limiter may act on it before this task resumes.
    context.record(Fact::RequestReceived {
        request: id,
        limiter: client_request.limiter,
        operation: client_request.operation,
        class: client_request.class,
        partner: client_request.partner,
        units: client_request.units,
        deadline: context.now() + client_request.timeout,
    });
    stream.write_all(command).await?;
    let answer_timeout = Duration::from_nanos(client_request.timeout) + LATE_ANSWER_TIME;
    let Ok(reply) = timeout(answer_timeout, read_reply(&mut stream)).await else {
        return Ok(None);
    };
    let answer = answer_from(reply?, id)?;
    context.record(Fact::Answered {
        request: id,
        answer,
    });
    Ok(Some(answer))
}

/// Converts a reply to an answer. A value of another request, or no reply, is an error.
fn answer_from(reply: Option<Reply>, id: RequestId) -> io::Result<Answer> {
    match reply {
        Some(Reply::Bulk(value)) if value == wire_id(id) => Ok(Answer::Served),
        Some(Reply::Bulk(_)) | None => Err(io::ErrorKind::UnexpectedEof.into()),
        Some(Reply::Line(line)) => Ok(match line.strip_prefix("-BUSY") {
            Some(retry_after_ms) => {
                let retry_after_ms = retry_after_ms.trim().parse::<u64>().unwrap_or(0);
                Answer::Rejected(retry_after_ms * NANOS_PER_MS)
            }
            None => Answer::Failed,
        }),
    }
}
