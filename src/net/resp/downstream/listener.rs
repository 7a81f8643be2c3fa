//! Accepting client connections, until they close at the end of the process.

use super::closing::Admission;
use super::connection::serve;
use super::Downstream;
use crate::net::resp::eviction::Eviction;
use crate::net::task::spawn;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// The part of the limit on connections by which it may be exceeded, before the process waits for others to close.
const EXCESS_DIVISOR: usize = 16;

/// Gives all further connections of a listener to the other process that listens at its address.
pub type RedirectListener = fn(&TcpListener) -> nix::Result<()>;

/// Accepts connections until the process shuts down. Further connections are then redirected to the other process of this
/// limiter, if it serves.
pub async fn accept(
    downstream: &Rc<Downstream>,
    listener: TcpListener,
    redirect_listener: RedirectListener,
) {
    let mut acceptor = Acceptor {
        downstream,
        redirect_listener,
        closing: downstream.context.shutdown.subscribe_closing(),
        accepts_until: None,
    };
    while let Some(accepted) = acceptor.next(&listener).await {
        match accepted {
            Ok((stream, _)) => acceptor.accept(stream).await,
            Err(error) => {
                tracing::warn!(%error, "client connection not accepted");
                sleep(downstream.context.limits.reconnect_pause).await;
            }
        }
    }
    accept_queued(downstream, listener);
}

struct Acceptor<'a> {
    downstream: &'a Rc<Downstream>,
    redirect_listener: RedirectListener,
    closing: watch::Receiver<bool>,
    /// Once the process shuts down: until when connections are accepted that were sent before.
    accepts_until: Option<Instant>,
}

impl Acceptor<'_> {
    /// The next connection; `None` once no further ones are accepted.
    async fn next(
        &mut self,
        listener: &TcpListener,
    ) -> Option<std::io::Result<(TcpStream, std::net::SocketAddr)>> {
        loop {
            let accepts_until = self.accepts_until;
            tokio::select! {
                biased;
                accepted = listener.accept() => return Some(accepted),
                _ = self.closing.wait_for(|is_closing| *is_closing), if accepts_until.is_none() => {}
                () = sleep_until(accepts_until.unwrap_or_else(Instant::now)), if accepts_until.is_some() => {
                    return None;
                }
            }
            self.start_closing(listener);
        }
    }

    /// Redirects further connections to the other process of this limiter, if it serves.
    fn start_closing(&mut self, listener: &TcpListener) {
        let context = &self.downstream.context;
        if context.shutdown.has_serving_successor() {
            if let Err(error) = (self.redirect_listener)(listener) {
                tracing::info!(%error, "client connections still come to either process");
            }
        }
        self.accepts_until =
            Some(Instant::now() + context.limits.hot_restart.listener_handover_grace);
    }

    /// Accepts a connection. Far past the limit the process then waits for others to close, since it would run out of
    /// descriptors.
    async fn accept(&mut self, stream: TcpStream) {
        let context = &self.downstream.context;
        let max_connections = context.limits.downstream_connection_share();
        start(self.downstream, stream, self.admit(max_connections));
        let most = max_connections + max_connections / EXCESS_DIVISOR;
        let mut connections = context.shutdown.subscribe_connections();
        let accepts_until = self.accepts_until;
        // The end of the process is not waited past, with other connections left in the queue.
        tokio::select! {
            _ = connections.wait_for(|count| *count < most) => {}
            _ = self.closing.wait_for(|is_closing| *is_closing), if accepts_until.is_none() => {}
            () = sleep_until(accepts_until.unwrap_or_else(Instant::now)), if accepts_until.is_some() => {}
        }
    }

    /// Admits a connection. Past the limit the connection that has been idle longest is evicted for it; where none is
    /// idle, the requests of the new one are rejected.
    fn admit(&self, max_connections: usize) -> Admission {
        if self.downstream.context.shutdown.connections() < max_connections {
            return Admission::Served;
        }
        match self.downstream.idle_connections.evict_first() {
            Eviction::Evicted => Admission::Served,
            Eviction::NoneIdle => Admission::Rejected,
        }
    }
}

/// Starts to serve a connection, which counts until its task ends.
fn start(downstream: &Rc<Downstream>, stream: TcpStream, admission: Admission) {
    let counted = downstream.context.shutdown.count_connection();
    let downstream = downstream.clone();
    spawn(async move {
        // Without it responses are a little later; the connection works all the same.
        let _ = stream.set_nodelay(true);
        serve(&downstream, stream, admission).await;
        drop(counted);
    });
}

/// Accepts the connections that wait in the queue, and closes it. A queue that is closed resets all connections in it.
fn accept_queued(downstream: &Rc<Downstream>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => start(downstream, stream, Admission::Served),
            Err(error) => tracing::warn!(%error, "queued client connection lost"),
        }
    }
}
