//! Fourth stage: assigns a call to a connection, the most recently used idle one to its host or a new one.

use super::call_end::CallEnd;
use super::pipeline::Pipeline;
use super::{attempt, complete};
use crate::api::{HostId, Outcome};
use crate::net::engine::{Cancellation, HostCall, HostCommand};
use crate::net::memory::Owner;
use crate::net::resp::upstream::{HostProcess, IdleSlot, UpstreamConnection};
use crate::net::task::spawn;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at, Instant};

/// Sends a call on an idle connection to its host, or on a new one if there is none.
pub fn send(pipeline: &Rc<Pipeline>, call: HostCall) {
    if let Err(call) = pipeline.upstream.send_on_idle(call, &pipeline.limits) {
        // The process that the call was decided for: another one may listen on its address once a connection is open.
        let process = pipeline.upstream.process(call.host, &pipeline.limits);
        spawn(run_connection(pipeline.clone(), call, process));
    }
}

/// Sends a health check to a host.
pub fn check_health(pipeline: &Rc<Pipeline>, host: HostId) {
    let now = Instant::now();
    let deadline = now + pipeline.limits.connect_timeout.get();
    let call = HostCall {
        command: HostCommand::HealthCheck,
        host,
        started_at: now,
        send_by: deadline,
        deadline,
        cancellation: Rc::new(Cancellation::default()),
    };
    send(pipeline, call);
}

/// Opens a connection for a call, and runs this and subsequent calls on it for as long as it is usable.
async fn run_connection(pipeline: Rc<Pipeline>, call: HostCall, process: Option<HostProcess>) {
    let Some(process) = process else {
        return complete::complete(&pipeline, &call, Outcome::ConnectFailed.into());
    };
    let Some(_permit) = pipeline
        .upstream
        .acquire_permit(call.host, &pipeline.limits)
    else {
        return complete::complete(&pipeline, &call, Outcome::ConnectFailed.into());
    };
    let connection_bytes = pipeline.limits.memory.host_connection_bytes;
    let _reservation = pipeline.memory.hold(Owner::Connections, connection_bytes);
    match connect(&pipeline, &call, process).await {
        Ok(connection) => {
            pipeline.upstream.record_connect(call.host);
            run_calls(&pipeline, connection, call).await;
        }
        Err(outcome) => {
            pipeline.upstream.record_connect_failure(call.host);
            complete::complete(&pipeline, &call, outcome.into());
        }
    }
}

/// Runs a call on a connection, and then each call that the pool assigns to the connection while it is idle. A call is
/// dropped before the wait for the next one, since it holds the arguments of its request.
async fn run_calls(
    pipeline: &Rc<Pipeline>,
    mut connection: UpstreamConnection,
    mut call: HostCall,
) {
    loop {
        let host = call.host;
        let CallEnd { result, reusable } = attempt::run(pipeline, &mut connection, &call).await;
        // Added before the engine handles the end of the call, so that a call that results from it can use the
        // connection.
        let idle_slot = if reusable {
            pipeline.upstream.add_idle(host, connection.peer)
        } else {
            None
        };
        complete::complete(pipeline, &call, result);
        drop(call);
        connection.release_buffers();
        let Some(IdleSlot { serial, next_call }) = idle_slot else {
            return;
        };
        match wait_for_call(pipeline, &connection, next_call).await {
            // The host has closed the connection in the meantime. Nothing has been written, so the call is sent on
            // another connection.
            Some(next) if !connection.is_quiet() => return send(pipeline, next),
            Some(next) => call = next,
            None => return pipeline.upstream.remove_idle(host, serial),
        }
    }
}

async fn connect(
    pipeline: &Pipeline,
    call: &HostCall,
    process: HostProcess,
) -> Result<UpstreamConnection, Outcome> {
    let connect_timeout = Instant::now() + pipeline.limits.connect_timeout.get();
    let connect_by = call.send_by.min(connect_timeout);
    tokio::select! {
        biased;
        () = call.cancellation.requested.notified() => Err(Outcome::Cancelled),
        connected = timeout_at(connect_by, TcpStream::connect(process.address)) => match connected {
            Ok(Ok(stream)) => {
                // Without TCP_NODELAY, latency is slightly higher, but the connection still works.
                let _ = stream.set_nodelay(true);
                Ok(UpstreamConnection::new(stream, process))
            }
            _ => Err(Outcome::ConnectFailed),
        },
    }
}

/// Waits for the next call on an idle connection; returns `None` after the idle timeout, or if anything is received.
/// The call is polled first, so that no call is lost when another branch is ready at the same time.
async fn wait_for_call(
    pipeline: &Pipeline,
    connection: &UpstreamConnection,
    mut next_call: oneshot::Receiver<HostCall>,
) -> Option<HostCall> {
    let idle_timeout = pipeline.limits.upstream.idle_timeout.get();
    tokio::select! {
        biased;
        call = &mut next_call => call.ok(),
        () = connection.ended_or_received() => None,
        () = sleep(idle_timeout) => None,
    }
}
