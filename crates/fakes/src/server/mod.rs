//! The servers of the fakes: protocols in front of the shared state.

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

/// Accepts one limiter's connections until the listener fails, and serves each of them in a task of its own.
pub(crate) async fn accept_connections<Serving>(
    context: Rc<Context>,
    limiter: LimiterIndex,
    listener: TcpListener,
    serve_connection: fn(Rc<Context>, LimiterIndex, TcpStream) -> Serving,
) where
    Serving: Future<Output = io::Result<()>> + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        disable_nagle(&stream);
        let serving = serve_connection(context.clone(), limiter, stream);
        // The limiter sees the end of a failed connection; the server has nothing to add.
        spawn(async move { drop(serving.await) });
    }
}
