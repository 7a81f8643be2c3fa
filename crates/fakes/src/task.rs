//! Spawning of local tasks and the accept loop of servers.

use std::future::Future;
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Starts a task on the harness's thread. It ends by itself or with the runtime.
pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}

/// Sends small answers without delay.
pub(crate) fn disable_nagle(stream: &TcpStream) {
    // A connection that refuses the option still works, only slower.
    let _ = stream.set_nodelay(true);
}

/// Accepts connections until the listener fails, and serves each of them in a task of its own.
pub(crate) async fn accept_connections<Serving>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> Serving,
) where
    Serving: Future<Output = io::Result<()>> + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        disable_nagle(&stream);
        let serving = serve(stream);
        // The limiter sees the end of a failed connection; the server has nothing to add.
        spawn(async move { drop(serving.await) });
    }
}
