//! Helpers for local tasks and their connections.

use std::future::Future;
use tokio::net::TcpStream;

/// Spawns a task on the harness's thread. It runs until it completes or the runtime is dropped.
pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}

/// Disables Nagle's algorithm, so that small answers are sent without delay.
pub(crate) fn disable_nagle(stream: &TcpStream) {
    // Without the option the connection still works, with higher latency.
    let _ = stream.set_nodelay(true);
}
