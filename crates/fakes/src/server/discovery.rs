//! The fake discovery service over HTTP: full endpoint lists, and watches that wait for changes. Each limiter has its
//! own listener, so that the records name the limiter that was notified.

use crate::context::Context;
use crate::endpoints::{endpoint_list, host_state, ListKind};
use crate::state::EndpointChanges;
use quartzcleat_decision::api::LimiterIndex;
use quartzcleat_invariants::{Fact, HostIndex};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const MAX_HEAD_BYTES: usize = 16 << 10;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// The limit of a watch's wait, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// The answer to a call.
struct Answer {
    generation: u64,
    kind: ListKind,
    hosts: Vec<HostIndex>,
}

/// Serves one connection of a limiter.
pub(crate) async fn serve_connection(
    context: Rc<Context>,
    limiter: LimiterIndex,
    mut stream: TcpStream,
) -> io::Result<()> {
    let mut input = Vec::new();
    loop {
        while let Some(path) = take_request_path(&mut input) {
            let answer = answer_call(&context, &path).await;
            let response = response(&context, limiter, &answer);
            stream.write_all(response.as_bytes()).await?;
            record_notified(&context, limiter, &answer);
        }
        if input.len() > MAX_HEAD_BYTES || stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

/// Removes the first complete request from the input and returns its path with the query, or `None` if there is none.
fn take_request_path(input: &mut Vec<u8>) -> Option<String> {
    let end = input
        .windows(END_OF_HEAD.len())
        .position(|window| window == END_OF_HEAD)?;
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    input.drain(..end + END_OF_HEAD.len());
    Some(head.split(' ').nth(1).unwrap_or_default().to_owned())
}

fn response(context: &Context, limiter: LimiterIndex, answer: &Answer) -> String {
    let body = endpoint_list(
        context,
        limiter,
        answer.generation,
        answer.kind,
        &answer.hosts,
    )
    .to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Records the host states that an answer told a limiter.
fn record_notified(context: &Context, limiter: LimiterIndex, answer: &Answer) {
    for host in &answer.hosts {
        context.record(Fact::HostStateLearned {
            limiter,
            host: *host,
            state: host_state(context, *host),
        });
    }
}

/// Waits for a watch's change or its time limit, and until discovery answers, and returns the answer to the call.
async fn answer_call(context: &Context, path: &str) -> Answer {
    let EndpointChanges {
        mut published,
        mut answering,
    } = context.discovery.borrow().subscribe();
    let index = query_number(path, "index");
    if let Some(index) = index {
        let wait_ms = query_number(path, "wait").unwrap_or(0).min(MAX_WAIT_MS);
        let changed = published.wait_for(|version| *version > index);
        // If nothing changes in time, the answer is an empty list of changes.
        let _ = timeout(Duration::from_millis(wait_ms), changed).await;
    }
    // While discovery does not answer, every call waits. The sender lives as long as the context, so the wait cannot
    // fail.
    let _ = answering.wait_for(|answering| *answering).await;
    let discovery = context.discovery.borrow();
    let generation = discovery.generation();
    match index {
        Some(index) if index >= 1 => Answer {
            generation,
            kind: ListKind::Changes,
            hosts: discovery.changed_between(index, generation),
        },
        _ => Answer {
            generation,
            kind: ListKind::Full,
            hosts: discovery.listed(),
        },
    }
}

/// Returns the value of a query parameter, or `None` if it is absent or no number.
fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| {
        let value = pair.strip_prefix(name)?.strip_prefix('=')?;
        value.parse().ok()
    })
}
