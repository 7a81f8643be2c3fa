//! The heartbeat task: sends heartbeats over TCP to a target that checks their fencing token.

use super::node::LeaseNode;
use quartzcleat_config::lease::Task;
use quartzcleat_lease::{FencingToken, PermittedOperation};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at};

#[cfg(test)]
mod tests;

/// Maximum number of bytes read of a target's response.
const MAX_RESPONSE_BYTES: u64 = 128;

/// The response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Response {
    /// The target admitted the heartbeat.
    Ok,
    /// The target has already admitted a heartbeat of a later holder.
    Stale {
        /// The highest fencing token that the target has admitted.
        highest: FencingToken,
    },
}

impl Response {
    /// Parses a response line; `None` if it is malformed.
    fn parse(line: &str) -> Option<Response> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        match fields.as_slice() {
            ["OK"] => Some(Response::Ok),
            ["OUTDATED", round, proposer, incarnation] => Some(Response::Stale {
                highest: FencingToken {
                    round: round.parse().ok()?,
                    proposer: proposer.parse().ok()?,
                    incarnation: incarnation.parse().ok()?,
                },
            }),
            _ => None,
        }
    }
}

/// The heartbeat loop of one task.
pub(super) struct HeartbeatTask {
    node: Rc<LeaseNode>,
    task_index: usize,
    target: SocketAddr,
    task: Task,
    /// Number of the last heartbeat, from one; 0 before the first.
    number: u64,
}

impl HeartbeatTask {
    pub(super) fn new(
        node: Rc<LeaseNode>,
        task_index: usize,
        target: SocketAddr,
        task: Task,
    ) -> Self {
        HeartbeatTask {
            node,
            task_index,
            target,
            task,
            number: 0,
        }
    }

    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            sleep(self.task.interval).await;
            if let Some(operation) = self.node.permit(self.task_index, &self.task) {
                self.number += 1;
                self.send(operation).await;
            }
        }
    }

    /// Sends a heartbeat and waits for the response until the operation's deadline.
    async fn send(&self, operation: PermittedOperation) {
        let in_progress = self.node.begin_operation();
        let deadline = self.node.instant_at(operation.deadline);
        let response = timeout_at(deadline, self.exchange(operation.token)).await;
        drop(in_progress);
        let task = &self.task.name;
        match response {
            Ok(Ok(Response::Ok)) => {}
            Ok(Ok(Response::Stale { highest })) => {
                tracing::warn!(task, "fencing token rejected as stale, lease dropped");
                self.node.handle_stale_token(self.task_index, highest);
            }
            Ok(Err(error)) => tracing::warn!(task, %error, "heartbeat failed"),
            Err(_) => tracing::warn!(task, "heartbeat timed out"),
        }
    }

    async fn exchange(&self, token: FencingToken) -> io::Result<Response> {
        let mut stream = BufReader::new(TcpStream::connect(self.target).await?);
        let request = to_request(&self.task.name, token, self.number);
        stream.write_all(request.as_bytes()).await?;
        let mut line = String::new();
        stream.take(MAX_RESPONSE_BYTES).read_line(&mut line).await?;
        Response::parse(&line).ok_or_else(|| {
            io::Error::other(format!(
                "unexpected response {line:?}; expected OK or OUTDATED with a token"
            ))
        })
    }
}

fn to_request(task: &str, token: FencingToken, number: u64) -> String {
    let FencingToken {
        round,
        proposer,
        incarnation,
    } = token;
    format!("ACT {task} {round} {proposer} {incarnation} {number}\n")
}
