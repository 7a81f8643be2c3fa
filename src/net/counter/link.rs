//! The task that keeps one connection to the counter up and its calls reported in time.

use super::answer::parse_answer;
use super::call_queue::CallQueue;
use super::client::CounterClient;
use super::connection::CounterConnection;
use crate::net::config::{Addresses, Limits};
use crate::net::resp::codec;
use crate::net::task::spawn;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Starts a link for each of the client's queues.
pub fn start(client: &Rc<CounterClient>) {
    for queue in &client.queues {
        spawn(Link::new(client.clone(), queue.clone()).run());
    }
}

/// How many bytes are looked for on a connection that seems silent.
const LAST_LOOK_BYTES: usize = 256;

/// Why a connection is no longer served.
#[derive(PartialEq)]
enum ConnectionEnd {
    /// It had nothing to do for long.
    Idle,
    /// It broke, or is of no more use.
    Broken,
    /// The counter has another address now.
    AddressChanged,
}

/// What a served connection waited for.
enum Wakeup {
    /// Bytes were received, or the connection has ended.
    Received { is_open: bool },
    /// More can be written, or a call was added to an idle connection's queue.
    Continue,
    /// A call was added.
    CallAdded,
    /// The first call has timed out.
    CallTimedOut,
    /// The connection was silent for too long.
    Silent,
}

/// What is known of a connection's silence.
struct Silence {
    /// When bytes were last received, or the connection last had nothing to do.
    since: Instant,
    /// When the answer began that is not complete yet.
    answer_began: Option<Instant>,
}

/// A queue of calls, and what its task works with.
pub struct Link {
    client: Rc<CounterClient>,
    queue: Rc<CallQueue>,
    addresses: watch::Receiver<Addresses>,
}

impl Link {
    /// A link without a connection.
    pub fn new(client: Rc<CounterClient>, queue: Rc<CallQueue>) -> Self {
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

    /// Keeps a connection up for good, and reports calls in time while there is none.
    pub async fn run(mut self) {
        loop {
            let Some(address) = self.addresses.borrow_and_update().counter else {
                // Without a sender no address comes any more; the process is ending.
                let _ = self.addresses.changed().await;
                continue;
            };
            let Some(stream) = self.connect(address).await else {
                self.pause().await;
                continue;
            };
            let mut connection = CounterConnection::new(stream);
            match self.serve(&mut connection).await {
                ConnectionEnd::Idle => self.abandon(connection),
                ConnectionEnd::AddressChanged => {
                    spawn(finish_on_old_address(
                        self.client.clone(),
                        self.queue.clone(),
                        connection,
                    ));
                }
                ConnectionEnd::Broken => {
                    let has_answered = connection.has_answered;
                    self.abandon(connection);
                    // Where the counter is at work only this connection was at fault.
                    if !has_answered {
                        self.pause().await;
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

    /// Connects to the counter, unless it takes too long or the address changes meanwhile.
    async fn connect(&mut self, address: SocketAddr) -> Option<TcpStream> {
        let limits = self.limits();
        let connect_by = Instant::now() + limits.connect_timeout.get();
        let connect = timeout_at(connect_by, TcpStream::connect(address));
        tokio::pin!(connect);
        loop {
            tokio::select! {
                connected = &mut connect => {
                    let stream = connected.ok()?.ok()?;
                    // Without it calls are a little later; the connection works all the same.
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

    /// The pause before a new connection, in which calls time out as ever. A new address ends it.
    async fn pause(&mut self) {
        let limits = self.limits();
        let until = Instant::now() + limits.reconnect_pause;
        while Instant::now() < until && !self.addresses.has_changed().unwrap_or(false) {
            tokio::select! {
                () = sleep_until(until) => {}
                () = self.queue.wait_for_timeout(&limits) => self.expire(),
                () = self.queue.added.notified() => {}
                _ = self.addresses.changed() => self.addresses.mark_changed(),
            }
        }
    }

    /// Serves a connection until it breaks, stays silent, has nothing to do for long, or is to be left.
    async fn serve(&mut self, connection: &mut CounterConnection) -> ConnectionEnd {
        let limits = self.limits();
        let mut silence = Silence {
            since: Instant::now(),
            answer_began: None,
        };
        loop {
            silence.note_answer(!connection.input.is_empty());
            if self.addresses.has_changed().unwrap_or(false) {
                return ConnectionEnd::AddressChanged;
            }
            self.queue.move_to(connection);
            if connection.flush(&limits).is_err() {
                return ConnectionEnd::Broken;
            }
            let is_suspect = silence.is_suspect(connection);
            let suspect_at = silence.suspect_at(&limits);
            if is_suspect && self.others_were_answered(suspect_at) {
                if !self.take_last_look(connection) {
                    return ConnectionEnd::Broken;
                }
                silence.since = Instant::now();
                continue;
            }
            let has_calls = !connection.unanswered.is_empty();
            let until = silence.ends_at(connection, &limits);
            match self.wait(connection, until).await {
                Wakeup::Received { is_open } => {
                    if !is_open || !read_answers(&self.client, &self.queue, connection) {
                        return ConnectionEnd::Broken;
                    }
                    silence.since = Instant::now();
                }
                Wakeup::CallTimedOut => self.expire(),
                Wakeup::CallAdded if !has_calls => silence.since = Instant::now(),
                // The connection is suspect from now on; whether others were answered is looked at next.
                Wakeup::Silent if is_suspect && until == suspect_at => {}
                Wakeup::Silent if has_calls || silence.answer_began.is_some() => {
                    return ConnectionEnd::Broken;
                }
                Wakeup::Silent => return ConnectionEnd::Idle,
                Wakeup::CallAdded | Wakeup::Continue => {}
            }
        }
    }

    async fn wait(&mut self, connection: &mut CounterConnection, until: Instant) -> Wakeup {
        let limits = self.limits();
        let (mut reader, writer) = connection.stream.split();
        tokio::select! {
            more = codec::read_more(&mut reader, &mut connection.input, limits.codec.read_chunk_bytes) => {
                Wakeup::Received { is_open: more.unwrap_or(false) }
            }
            _ = writer.writable(), if !connection.output.is_empty() => Wakeup::Continue,
            () = self.queue.wait_for_timeout(&limits) => Wakeup::CallTimedOut,
            () = self.queue.added.notified() => Wakeup::CallAdded,
            () = sleep_until(until) => Wakeup::Silent,
            _ = self.addresses.changed() => {
                self.addresses.mark_changed();
                Wakeup::Continue
            }
        }
    }

    /// Whether this connection should have been answered by a time that is past, as others were since.
    fn others_were_answered(&self, by: Instant) -> bool {
        let call_timeout = self.client.limits.counter.call_timeout.get();
        let since = by.checked_sub(call_timeout).unwrap_or(by);
        let last_answered = self.queue.last_answered.get();
        Instant::now() >= by && last_answered.is_some_and(|answered| answered >= since)
    }

    /// Reads what a silent connection may hold unread: after the process stood still, all answers lie there. False where
    /// the connection is of no more use.
    fn take_last_look(&self, connection: &mut CounterConnection) -> bool {
        let mut unread = [0; LAST_LOOK_BYTES];
        match connection.stream.try_read(&mut unread) {
            Ok(count) if count > 0 => connection.input.extend_from_slice(&unread[..count]),
            _ => return false,
        }
        read_answers(&self.client, &self.queue, connection)
    }
}

impl Silence {
    /// Notes whether a part of an answer has been received. An answer that begins and never ends is given up.
    fn note_answer(&mut self, has_begun: bool) {
        if has_begun {
            self.answer_began.get_or_insert_with(Instant::now);
        } else {
            self.answer_began = None;
        }
    }

    /// Whether the connection is to be left early where others are answered. A connection that fell silent under a counter
    /// that is at work would leave its part of the customers uncounted for as long as it may be silent. Only one that was
    /// answered before: a counter that accepts connections and answers none must not get ever more of them.
    fn is_suspect(&self, connection: &CounterConnection) -> bool {
        !connection.unanswered.is_empty() && self.answer_began.is_none() && connection.has_answered
    }

    /// When a suspect connection is compared with the others.
    fn suspect_at(&self, limits: &Limits) -> Instant {
        self.since + 2 * limits.counter.call_timeout.get()
    }

    /// When the silence has lasted too long, or is to be looked at.
    fn ends_at(&self, connection: &CounterConnection, limits: &Limits) -> Instant {
        let allowed = if connection.unanswered.is_empty() {
            limits.counter.idle_timeout
        } else {
            limits.counter.silence_timeout
        };
        let ends_at = match self.answer_began {
            Some(began) => began + limits.counter.call_timeout.get(),
            None => self.since + allowed,
        };
        let suspect_at = self.suspect_at(limits);
        if self.is_suspect(connection) && suspect_at > Instant::now() {
            ends_at.min(suspect_at)
        } else {
            ends_at
        }
    }
}

/// Serves a connection to an address that is no longer the counter's, until all that was written to it has had its time.
async fn finish_on_old_address(
    client: Rc<CounterClient>,
    queue: Rc<CallQueue>,
    mut connection: CounterConnection,
) {
    let call_timeout = client.limits.counter.call_timeout.get();
    // Past the time the calls are given up, as after a failure.
    let _ = timeout(
        call_timeout,
        read_remaining(&client, &queue, &mut connection),
    )
    .await;
    queue.abandon(connection, &client.engine);
}

async fn read_remaining(
    client: &CounterClient,
    queue: &CallQueue,
    connection: &mut CounterConnection,
) {
    let limits = &client.limits;
    while connection.flush(limits).is_ok() && !connection.unanswered.is_empty() {
        let (mut reader, writer) = connection.stream.split();
        tokio::select! {
            more = codec::read_more(&mut reader, &mut connection.input, limits.codec.read_chunk_bytes) => {
                if !more.unwrap_or(false) || !read_answers(client, queue, connection) {
                    return;
                }
            }
            _ = writer.writable(), if !connection.output.is_empty() => {}
        }
    }
}

/// Takes the answers received; each belongs to the first call that waits for one. False where one belongs to none, or is
/// malformed: its call may have been added, and the connection is of no more use.
fn read_answers(
    client: &CounterClient,
    queue: &CallQueue,
    connection: &mut CounterConnection,
) -> bool {
    let is_usable = loop {
        let answer = match parse_answer(&connection.input, &client.limits) {
            Ok(None) => break true,
            Ok(Some(answer)) => answer,
            Err(_) => break false,
        };
        codec::consume(
            &mut connection.input,
            answer.length,
            client.limits.codec.read_chunk_bytes,
        );
        connection.has_answered = true;
        queue.last_answered.set(Some(Instant::now()));
        match connection.unanswered.pop_front() {
            // The end of a call that has timed out is known already.
            Some(call) => queue.record(call.number, answer.outcome),
            None => break false,
        }
    };
    queue.report(&client.engine);
    is_usable
}
