//! The process of a fake host: its start and end, its listener for each limiter, and the connections that carry
//! attempts.

use crate::context::Context;
use crate::resp::CommandStream;
use crate::server::host_attempt::{self, AfterAttempt};
use crate::state::Endpoint;
use crate::task::{disable_nagle, spawn};
use quartzcleat_decision::api::{LimiterIndex, RequestId};
use quartzcleat_invariants::HostIndex;
use quartzcleat_simulation::host::HostStatus;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// How often a host tries to bind the address of an ended process.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Starts to accept connections if the host's process runs.
pub(crate) fn start_process(context: &Rc<Context>, host: HostIndex) {
    let endpoints = {
        let mut hosts = context.hosts.borrow_mut();
        if hosts[host.0].model.status != HostStatus::Running {
            return;
        }
        hosts[host.0].take_endpoints()
    };
    for (limiter, endpoint) in endpoints.into_iter().enumerate() {
        let limiter = LimiterIndex::from_usize(limiter);
        spawn(listen(context.clone(), limiter, host, endpoint));
    }
}

/// Returns whether the host's machine is unreachable.
fn is_unreachable(context: &Context, host: HostIndex) -> bool {
    context.hosts.borrow()[host.0].model.status == HostStatus::Unreachable
}

/// Accepts one limiter's connections until the host's process ends.
async fn listen(context: Rc<Context>, limiter: LimiterIndex, host: HostIndex, endpoint: Endpoint) {
    let Endpoint {
        address,
        listener,
        mut process_ended,
    } = endpoint;
    let listener = match listener {
        Some(listener) => listener,
        None => bind_when_free(address).await,
    };
    loop {
        tokio::select! {
            _ = process_ended.changed() => break,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { break };
                disable_nagle(&stream);
                let connection = serve_connection(context.clone(), limiter, host, stream);
                spawn(until_process_ends(connection, process_ended.clone()));
            }
        }
    }
    if is_unreachable(&context, host) {
        // The sockets of an unreachable machine stay open, but nothing is answered.
        std::future::pending::<()>().await;
    }
}

/// Binds an address as soon as the previous process has released it.
async fn bind_when_free(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

/// Serves a connection until it ends or the host's process does.
async fn until_process_ends(
    connection: impl std::future::Future<Output = io::Result<()>>,
    mut process_ended: watch::Receiver<u64>,
) {
    tokio::select! {
        _ = process_ended.changed() => {}
        // A failed connection is closed, which the limiter observes; there is nothing else to report.
        _ = connection => {}
    }
}

async fn serve_connection(
    context: Rc<Context>,
    limiter: LimiterIndex,
    host: HostIndex,
    stream: TcpStream,
) -> io::Result<()> {
    let mut stream = CommandStream::new(stream);
    while let Some(arguments) = stream.next_command().await? {
        if is_unreachable(&context, host) {
            return std::future::pending().await;
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        match arguments.as_slice() {
            ["Q.ASK" | "Q.DO", _, id, _, ..] => {
                let Ok(id) = u64::from_str_radix(id, 16) else {
                    stream.write("-SYNTAX\r\n").await?;
                    continue;
                };
                let end = host_attempt::serve(&context, limiter, host, RequestId(id), &mut stream)
                    .await?;
                if end == AfterAttempt::Close {
                    return Ok(());
                }
            }
            ["PING"] => stream.write("+PONG\r\n").await?,
            ["INFO", "load"] => stream.write("-NOPERM\r\n").await?,
            _ => stream.write("-ERR no such command\r\n").await?,
        }
    }
    Ok(())
}
