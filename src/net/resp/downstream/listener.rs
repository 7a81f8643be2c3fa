//! Accepts client connections until the process shuts down.

use super::accept_queue::{self, RetryLimits};
use super::closing::Admission;
use super::connection::serve;
use super::Downstream;
use crate::net::memory::Owner;
use crate::net::resp::eviction::Eviction;
use crate::net::system_call::AcceptError;
use crate::net::task::spawn;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// Divisor of the connection limit. The limit may be exceeded by this fraction (one sixteenth) before the process waits
/// for connections to close.
const EXCESS_DIVISOR: usize = 16;

/// Redirects all further connections of a listener to the other process that listens on its address.
pub type RedirectListener = fn(&TcpListener) -> nix::Result<()>;

/// Accepts connections until the process shuts down. From then on, further connections are redirected to the other
/// process of this limiter if that one is serving.
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
                if AcceptError::classify(&error) == AcceptError::Resources {
                    sleep(downstream.context.limits.reconnect_pause).await;
                }
            }
        }
    }
    accept_queued(downstream, listener).await;
}

struct Acceptor<'a> {
    downstream: &'a Rc<Downstream>,
    redirect_listener: RedirectListener,
    closing: watch::Receiver<bool>,
    /// Time until which connections that were initiated before the shutdown are still accepted; `None` before the
    /// shutdown.
    accepts_until: Option<Instant>,
}

impl Acceptor<'_> {
    /// Waits for the next connection; returns `None` once no further ones are accepted.
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

    /// Redirects further connections to the other process of this limiter if that one is serving, and starts the grace
    /// period after which no connections are accepted.
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

    /// Serves an accepted connection. If the connection limit is exceeded by more than the permitted excess, waits for
    /// connections to close, since the process would run out of file descriptors.
    async fn accept(&mut self, stream: TcpStream) {
        let context = &self.downstream.context;
        let max_connections = context.limits.downstream_connection_share();
        start(self.downstream, stream, self.admit(max_connections));
        let hard_limit = max_connections + max_connections / EXCESS_DIVISOR;
        let mut connections = context.shutdown.subscribe_connections();
        let accepts_until = self.accepts_until;
        // A shutdown ends the wait, so that connections are not left in the accept queue at the end of the process.
        tokio::select! {
            _ = connections.wait_for(|count| *count < hard_limit) => {}
            _ = self.closing.wait_for(|is_closing| *is_closing), if accepts_until.is_none() => {}
            () = sleep_until(accepts_until.unwrap_or_else(Instant::now)), if accepts_until.is_some() => {}
        }
    }

    /// Decides whether the requests of a new connection are served. At the connection limit, the first connection in
    /// the eviction order is closed to make room; if none is idle, the requests of the new connection are rejected.
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

/// Spawns the task that serves a connection. The connection counts until the task ends.
fn start(downstream: &Rc<Downstream>, stream: TcpStream, admission: Admission) {
    let context = &downstream.context;
    let counted = context.shutdown.count_connection();
    let connection_bytes = context.limits.memory.client_connection_bytes;
    let reservation = context.memory.hold(Owner::Connections, connection_bytes);
    let downstream = downstream.clone();
    spawn(async move {
        // A failure only delays responses a little.
        let _ = stream.set_nodelay(true);
        serve(&downstream, stream, admission).await;
        drop((counted, reservation));
    });
}

/// Accepts the connections in the accept queue, then closes the listener.
async fn accept_queued(downstream: &Rc<Downstream>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    let context = &downstream.context;
    let deadlines = context.shutdown.deadlines();
    let retry_limits = RetryLimits {
        pause: context.limits.reconnect_pause,
        deadline: deadlines.map_or_else(Instant::now, |deadlines| deadlines.answers),
    };
    let accept = || listener.accept().map(|(stream, _)| stream);
    let start = |stream| start_queued(downstream, stream);
    accept_queue::accept_all(accept, start, retry_limits).await;
}

fn start_queued(downstream: &Rc<Downstream>, stream: std::net::TcpStream) {
    let stream = stream
        .set_nonblocking(true)
        .and_then(|()| TcpStream::from_std(stream));
    match stream {
        Ok(stream) => start(downstream, stream, Admission::Served),
        Err(error) => tracing::warn!(%error, "queued client connection lost"),
    }
}
