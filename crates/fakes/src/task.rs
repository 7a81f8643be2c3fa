//! Spawning of local tasks.

use std::future::Future;
use tokio::net::TcpStream;

/// Starts a task on the harness's thread. It ends by itself or with the runtime.
pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}

/// Sends small answers without delay.
pub(crate) fn disable_nagle(stream: &TcpStream) {
    // A connection that refuses the option still works, only slower.
    let _ = stream.set_nodelay(true);
}
