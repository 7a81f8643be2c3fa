//! The servers of the fakes, which implement the protocols on top of the shared state.

pub(crate) mod counter;
pub(crate) mod discovery;
pub(crate) mod host;
mod host_attempt;

use crate::context::Context;
use crate::task::{disable_nagle, spawn};
use quartzcleat_decision::api::LimiterIndex;
use std::future::Future;
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts one limiter's connections until the listener fails, and serves each of them in its own task.
pub(crate) async fn accept_connections<ServeFuture>(
    context: Rc<Context>,
    limiter: LimiterIndex,
    listener: TcpListener,
    serve_connection: fn(Rc<Context>, LimiterIndex, TcpStream) -> ServeFuture,
) where
    ServeFuture: Future<Output = io::Result<()>> + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        disable_nagle(&stream);
        let serving = serve_connection(context.clone(), limiter, stream);
        // A failed connection is closed, which the limiter observes; there is nothing else to report.
        spawn(async move { drop(serving.await) });
    }
}
