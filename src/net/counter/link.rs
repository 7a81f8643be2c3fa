//! The task that maintains one connection to the counter, and that times out calls while there is none.

use super::call_queue::CallQueue;
use super::client::CounterClient;
use super::connection::CounterConnection;
use super::drain::drain;
use super::liveness::{ConnectionState, DeadlineAction, Liveness, LivenessTimeouts};
use super::receive::{record_answers, record_unread_answers, UnreadAnswers};
use crate::net::config::{Addresses, Limits};
use crate::net::resp::codec;
use crate::net::task::spawn;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Spawns a link for each of the client's queues.
pub fn start(client: &Rc<CounterClient>) {
    for queue in &client.queues {
        spawn(Link::new(client.clone(), queue.clone()).run());
    }
}

/// The reason why a connection is no longer served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The connection was idle for too long.
    Idle,
    /// The connection failed, was silent for too long, or received bytes that do not answer its calls.
    Failed,
    /// The address of the counter has changed.
    AddressChanged,
}

/// The event that ends the wait of a served connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wakeup {
    /// Bytes were received.
    Received,
    /// The counter has closed the connection, or the connection has failed.
    Disconnected,
    /// The socket accepts more output.
    Writable,
    /// A call was added to the queue.
    CallAdded,
    /// The first call in the queue has timed out.
    CallTimedOut,
    /// The address of the counter has changed.
    AddressChanged,
    /// The deadline of the connection's state has passed.
    DeadlinePassed,
}

/// A queue of calls, and the task that writes them to a connection.
pub(super) struct Link {
    client: Rc<CounterClient>,
    queue: Rc<CallQueue>,
    addresses: watch::Receiver<Addresses>,
}

impl Link {
    /// Creates a link without a connection.
    pub(super) fn new(client: Rc<CounterClient>, queue: Rc<CallQueue>) -> Self {
        let addresses = client.addresses.clone();
        Link {
            client,
            queue,
            addresses,
        }
    }

    fn limits(&self) -> Rc<Limits> {
        self.client.limits.clone()
    }

    /// Connects and reconnects forever, and times out calls while there is no connection.
    pub(super) async fn run(mut self) {
        loop {
            let Some(address) = self.addresses.borrow_and_update().counter else {
                // An error means that the sender was dropped: the address no longer changes, and the process is ending.
                let _ = self.addresses.changed().await;
                continue;
            };
            let Some(stream) = self.connect(address).await else {
                self.wait_to_reconnect().await;
                continue;
            };
            let mut connection = CounterConnection::new(stream);
            match self.serve(&mut connection).await {
                ConnectionEnd::Idle => self.abandon(connection),
                ConnectionEnd::AddressChanged => {
                    spawn(drain(self.client.clone(), self.queue.clone(), connection));
                }
                ConnectionEnd::Failed => {
                    let has_answered = connection.has_answered;
                    self.abandon(connection);
                    // A counter that has answered is running, so only this connection has failed.
                    if !has_answered {
                        self.wait_to_reconnect().await;
                    }
                }
            }
        }
    }

    fn abandon(&self, connection: CounterConnection) {
        self.queue.abandon(connection, &self.client.engine);
    }

    fn expire(&self) {
        self.queue.expire(&self.client.limits, &self.client.engine);
    }

    /// Connects to the counter. Returns `None` if connecting fails or times out, or if the address changes meanwhile.
    async fn connect(&mut self, address: SocketAddr) -> Option<TcpStream> {
        let limits = self.limits();
        let connect_by = Instant::now() + limits.connect_timeout.get();
        let connect = timeout_at(connect_by, TcpStream::connect(address));
        tokio::pin!(connect);
        loop {
            tokio::select! {
                connected = &mut connect => {
                    let stream = connected.ok()?.ok()?;
                    // A failure is harmless: without `TCP_NODELAY` calls are only slightly delayed.
                    let _ = stream.set_nodelay(true);
                    return Some(stream);
                }
                () = self.queue.wait_for_timeout(&limits) => self.expire(),
                () = self.queue.added.notified() => {}
                _ = self.addresses.changed() => {
                    self.addresses.mark_changed();
                    return None;
                }
            }
        }
    }

    /// Waits before reconnecting, until the reconnect pause is over or the address changes. Calls still time out
    /// meanwhile.
    async fn wait_to_reconnect(&mut self) {
        let limits = self.limits();
        let until = Instant::now() + limits.reconnect_pause;
        while Instant::now() < until && !self.has_new_address() {
            tokio::select! {
                () = sleep_until(until) => {}
                () = self.queue.wait_for_timeout(&limits) => self.expire(),
                () = self.queue.added.notified() => {}
                _ = self.addresses.changed() => self.addresses.mark_changed(),
            }
        }
    }

    fn has_new_address(&self) -> bool {
        self.addresses.has_changed().unwrap_or(false)
    }

    /// Serves a connection until it fails, is silent or idle for too long, or the counter's address changes.
    async fn serve(&mut self, connection: &mut CounterConnection) -> ConnectionEnd {
        let mut liveness = Liveness::new(Instant::now());
        loop {
            if let ControlFlow::Break(end) = self.serve_once(connection, &mut liveness).await {
                return end;
            }
        }
    }

    /// Writes the waiting calls, then waits for one wakeup and handles it.
    async fn serve_once(
        &mut self,
        connection: &mut CounterConnection,
        liveness: &mut Liveness,
    ) -> ControlFlow<ConnectionEnd> {
        if self.has_new_address() {
            return ControlFlow::Break(ConnectionEnd::AddressChanged);
        }
        self.queue.send_waiting(connection);
        if connection.flush(&self.client.limits).is_err() {
            return ControlFlow::Break(ConnectionEnd::Failed);
        }
        let state = self.connection_state(connection, liveness);
        if self.is_other_connection_answered(state) {
            return self.read_or_fail(connection, liveness);
        }
        match self.wait_for_wakeup(connection, state.deadline()).await {
            Wakeup::Received => self.handle_received(connection, liveness),
            Wakeup::Disconnected => ControlFlow::Break(ConnectionEnd::Failed),
            Wakeup::DeadlinePassed => handle_deadline(state),
            Wakeup::CallTimedOut => {
                self.expire();
                ControlFlow::Continue(())
            }
            Wakeup::CallAdded => {
                if matches!(state, ConnectionState::Idle { .. }) {
                    liveness.record_progress(Instant::now());
                }
                ControlFlow::Continue(())
            }
            Wakeup::Writable | Wakeup::AddressChanged => ControlFlow::Continue(()),
        }
    }

    fn connection_state(
        &self,
        connection: &CounterConnection,
        liveness: &mut Liveness,
    ) -> ConnectionState {
        let now = Instant::now();
        if connection.input.is_empty() {
            liveness.record_complete_answers();
        } else {
            liveness.record_partial_answer(now);
        }
        let timeouts = LivenessTimeouts::from_limits(&self.client.limits);
        liveness.state(connection.call_progress(), timeouts, now)
    }

    async fn wait_for_wakeup(
        &mut self,
        connection: &mut CounterConnection,
        deadline: Instant,
    ) -> Wakeup {
        let limits = self.limits();
        let step = limits.codec.read_chunk_bytes;
        let (mut reader, writer) = connection.stream.split();
        tokio::select! {
            received = codec::read_more(&mut reader, &mut connection.input, step) => match received {
                Ok(()) => Wakeup::Received,
                Err(_) => Wakeup::Disconnected,
            },
            _ = writer.writable(), if !connection.output.is_empty() => Wakeup::Writable,
            () = self.queue.wait_for_timeout(&limits) => Wakeup::CallTimedOut,
            () = self.queue.added.notified() => Wakeup::CallAdded,
            () = sleep_until(deadline) => Wakeup::DeadlinePassed,
            _ = self.addresses.changed() => {
                self.addresses.mark_changed();
                Wakeup::AddressChanged
            }
        }
    }

    fn handle_received(
        &self,
        connection: &mut CounterConnection,
        liveness: &mut Liveness,
    ) -> ControlFlow<ConnectionEnd> {
        if record_answers(&self.client, &self.queue, connection).is_err() {
            return ControlFlow::Break(ConnectionEnd::Failed);
        }
        liveness.record_progress(Instant::now());
        ControlFlow::Continue(())
    }

    /// Returns whether another connection was answered while this one was silent; `false` unless it is suspect.
    fn is_other_connection_answered(&self, state: ConnectionState) -> bool {
        match state {
            ConnectionState::Suspect {
                others_answered_since,
                ..
            } => self
                .queue
                .last_answered
                .get()
                .is_some_and(|answered_at| answered_at >= others_answered_since),
            _ => false,
        }
    }

    /// Records the unread answers on a suspect connection, and fails the connection where there are none.
    fn read_or_fail(
        &self,
        connection: &mut CounterConnection,
        liveness: &mut Liveness,
    ) -> ControlFlow<ConnectionEnd> {
        match record_unread_answers(&self.client, &self.queue, connection) {
            UnreadAnswers::Received => {
                liveness.record_progress(Instant::now());
                ControlFlow::Continue(())
            }
            UnreadAnswers::None | UnreadAnswers::Malformed => {
                ControlFlow::Break(ConnectionEnd::Failed)
            }
        }
    }
}

fn handle_deadline(state: ConnectionState) -> ControlFlow<ConnectionEnd> {
    match state.action_at_deadline() {
        DeadlineAction::Close => ControlFlow::Break(ConnectionEnd::Idle),
        DeadlineAction::Fail => ControlFlow::Break(ConnectionEnd::Failed),
        DeadlineAction::Suspect => ControlFlow::Continue(()),
    }
}
