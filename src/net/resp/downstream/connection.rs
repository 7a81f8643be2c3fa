//! One client connection: commands are handled as they arrive, their responses sent in the order of the commands.

use super::idle_connections::{Activity, IdleTimer};
use super::request_parser::{parse_client_command, ClientCommand};
use super::response_queue::{Response, ResponseQueue};
use super::Downstream;
use crate::net::config::Limits;
use crate::net::engine::{Answer, Frontend};
use crate::net::resp::close::{self, SocketState};
use crate::net::resp::codec::{self, Command};
use crate::net::shutdown::Phase;
use crate::net::streaming_body::StreamingBody;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// Bytes that are read, or dropped, at a time past the parser.
const LOOK_BYTES: usize = 4096;
const PONG: &[u8] = b"+PONG\r\n";
const OK: &[u8] = b"+OK\r\n";
const TOO_MANY_COMMANDS: &str = "too many commands wait on this connection";

/// Whether a connection came within the limit on connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its requests are served.
    Served,
    /// It came past the limit: its requests are rejected, and it closes after its first responses.
    Rejected,
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// It is to be closed by the limiter, with nothing of its responses unsent.
    Orderly,
    /// Its client has gone, or takes nothing any more.
    Lost,
}

/// What happens next on a connection.
enum Step {
    /// It ends.
    End(ConnectionEnd),
    /// There is more to do at once.
    Again,
    /// It waits for the client, a response or a time-out.
    Wait,
}

/// What may be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    /// Commands.
    Commands,
    /// What follows malformed bytes, which is dropped.
    Discard,
    /// Nothing: too much is unsent. The client's end is still noticed.
    Paused,
}

/// Serves a connection to its end, and closes it.
pub async fn serve(downstream: &Rc<Downstream>, mut stream: TcpStream, admission: Admission) {
    let context = &downstream.context;
    let responses = Rc::new(ResponseQueue::new(context.buffered_bytes.clone()));
    let end = {
        let (reader, writer) = stream.split();
        let mut connection = Connection {
            downstream,
            reader,
            admission,
            responses: responses.clone(),
            input: Vec::new(),
            is_malformed: false,
            output: Output::new(writer),
            idle_timer: IdleTimer::new(downstream.idle_connections.clone()),
            phase: context.shutdown.subscribe_phase(),
            accepted_while_closing: context.shutdown.phase() >= Phase::Closing,
        };
        let end = connection.run().await;
        if end == ConnectionEnd::Lost {
            responses.release(connection.output.buffered_bytes);
        }
        end
    };
    responses.abandon(&*context.handler);
    // Past the limit a connection closes at once: while it lingered for its client, other clients would wait for its
    // descriptor. Behind malformed bytes a reset may then take the last response along.
    let has_capacity =
        context.shutdown.connections() < context.limits.downstream_connection_share();
    if end == ConnectionEnd::Orderly && has_capacity {
        close::close_in_order(stream, context.limits.downstream.linger_timeout).await;
    }
}

/// What is to be sent to the client.
struct Output<'a> {
    writer: WriteHalf<'a>,
    bytes: Vec<u8>,
    /// How many of `bytes` have been written.
    written: usize,
    /// How many of `bytes` count as buffered.
    buffered_bytes: usize,
    /// When the client last took some, or all.
    last_progress: Instant,
}

impl<'a> Output<'a> {
    fn new(writer: WriteHalf<'a>) -> Self {
        Output {
            writer,
            bytes: Vec::new(),
            written: 0,
            buffered_bytes: 0,
            last_progress: Instant::now(),
        }
    }

    fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn has_unwritten(&self) -> bool {
        self.written < self.bytes.len()
    }

    /// Writes as much as the socket takes.
    fn write(&mut self, responses: &ResponseQueue, limits: &Limits) -> io::Result<()> {
        if self.has_unwritten() {
            match self.writer.try_write(&self.bytes[self.written..]) {
                Ok(count) => {
                    self.written += count;
                    self.last_progress = Instant::now();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        } else {
            self.last_progress = Instant::now();
        }
        if self.written == self.bytes.len() && self.written > 0 {
            responses.release(self.buffered_bytes);
            codec::consume(&mut self.bytes, self.written, limits.codec.read_chunk_bytes);
            self.written = 0;
            self.buffered_bytes = 0;
        }
        Ok(())
    }
}

struct Connection<'a> {
    downstream: &'a Rc<Downstream>,
    reader: ReadHalf<'a>,
    admission: Admission,
    responses: Rc<ResponseQueue>,
    /// Bytes received and not parsed yet.
    input: Vec<u8>,
    /// Malformed bytes were received; nothing behind them can be parsed.
    is_malformed: bool,
    output: Output<'a>,
    idle_timer: IdleTimer,
    phase: watch::Receiver<Phase>,
    /// It came while clients are being drained: its first command is awaited before it closes.
    accepted_while_closing: bool,
}

impl Connection<'_> {
    fn limits(&self) -> &Limits {
        &self.downstream.context.limits
    }

    async fn run(&mut self) -> ConnectionEnd {
        loop {
            match self.step() {
                Step::End(end) => return end,
                Step::Again => {}
                Step::Wait => {
                    if let Some(end) = self.wait().await {
                        return end;
                    }
                }
            }
        }
    }

    /// Does all that can be done without waiting.
    fn step(&mut self) -> Step {
        self.handle_commands();
        let collected = self.responses.collect(&mut self.output.bytes);
        self.output.buffered_bytes += collected.buffered_bytes;
        let limits = self.downstream.context.limits.clone();
        if self.output.write(&self.responses, &limits).is_err() {
            return Step::End(ConnectionEnd::Lost);
        }
        // The client can tell by the early end that a value is not complete.
        if collected.has_failed && self.output.is_empty() {
            return Step::End(ConnectionEnd::Orderly);
        }
        let is_closing = *self.phase.borrow_and_update() >= Phase::Closing;
        let is_between_requests = self.output.is_empty() && self.responses.is_empty();
        if is_between_requests && self.is_malformed {
            return Step::End(ConnectionEnd::Orderly);
        }
        if is_between_requests && self.is_to_close(is_closing) && self.input.is_empty() {
            return match self.look_once_more() {
                Some(end) => Step::End(end),
                None => Step::Again,
            };
        }
        self.update_idle_timer(is_between_requests);
        Step::Wait
    }

    /// Handles the complete commands received, as long as not too much is unsent.
    fn handle_commands(&mut self) {
        let downstream = self.downstream;
        let limits = &downstream.context.limits;
        let mut consumed = 0;
        while !self.is_malformed && self.output.bytes.len() < limits.downstream.max_unsent_bytes {
            let bytes = &self.input[consumed..];
            match codec::parse_command(bytes, limits) {
                Ok(None) => break,
                Ok(Some(command))
                    if self.responses.len() < limits.downstream.max_queued_commands =>
                {
                    self.handle_command(bytes, &command);
                    consumed += command.length;
                }
                Ok(Some(_)) => {
                    self.responses.push_error(TOO_MANY_COMMANDS);
                    self.is_malformed = true;
                }
                Err(malformed) => {
                    self.responses.push_error(malformed.0);
                    self.is_malformed = true;
                }
            }
        }
        codec::consume(&mut self.input, consumed, limits.codec.read_chunk_bytes);
    }

    /// Handles a command; past a limit a request is rejected. A client that goes would not be noticed behind commands that
    /// nobody reads.
    fn handle_command(&self, bytes: &[u8], command: &Command) {
        let context = &self.downstream.context;
        let accepts_clients = context.shutdown.accepts_clients();
        let parsed = parse_client_command(
            bytes,
            command,
            &self.downstream.catalog.borrow(),
            accepts_clients,
        );
        match parsed {
            Ok(ClientCommand::Ping) => self.respond(PONG),
            Ok(ClientCommand::ConnectionSetting) => self.respond(OK),
            Err(error) => self.responses.push_error(&error.to_string()),
            Ok(ClientCommand::Request(request)) => {
                let is_pipeline_full =
                    self.responses.len() >= context.limits.downstream.max_pipelined_requests;
                let place = self.responses.push(Response::Pending(request.id));
                if is_pipeline_full || self.admission == Admission::Rejected {
                    let retry_after = context.limits.requests.capacity_retry_after.get();
                    self.responses
                        .answer(place, Answer::Rejected { retry_after });
                } else {
                    let frontend = self.responses.clone();
                    context.handler.handle_request(frontend, place, *request);
                }
            }
        }
    }

    fn respond(&self, response: &[u8]) {
        self.responses.push(Response::Ready(response.to_vec()));
    }

    /// Whether the connection closes as soon as it is between requests: clients are being drained, or it came past the
    /// limit. Commands that came together are all answered first, and a connection that came while clients are drained, or
    /// past the limit, does not close before its first command.
    fn is_to_close(&self, is_closing: bool) -> bool {
        let has_responded = self.responses.has_responded();
        (is_closing && (has_responded || !self.accepted_while_closing))
            || (self.admission == Admission::Rejected && has_responded)
    }

    /// Looks once more before the connection is closed between two requests: its end, unless more has been received.
    fn look_once_more(&mut self) -> Option<ConnectionEnd> {
        let mut received = [0; LOOK_BYTES];
        match close::read_now(self.reader.as_ref(), &mut received) {
            SocketState::Read(count) => {
                self.input.extend_from_slice(&received[..count]);
                None
            }
            SocketState::Empty => Some(ConnectionEnd::Orderly),
            SocketState::Closed => Some(ConnectionEnd::Lost),
        }
    }

    fn update_idle_timer(&mut self, is_between_requests: bool) {
        let activity = match (is_between_requests, self.input.is_empty()) {
            (false, _) => Activity::Busy,
            (true, true) => Activity::Idle,
            (true, false) => Activity::PartialCommand,
        };
        let is_new =
            self.idle_timer.is_new() && !self.responses.has_responded() && is_between_requests;
        let limits = &self.downstream.context.limits;
        self.idle_timer.update(activity, is_new, limits);
    }

    fn read_mode(&self) -> ReadMode {
        if self.is_malformed {
            ReadMode::Discard
        } else if self.output.bytes.len() < self.limits().downstream.max_unsent_bytes {
            ReadMode::Commands
        } else {
            ReadMode::Paused
        }
    }

    /// Waits until there is something to do; the connection's end, if it comes to one.
    async fn wait(&mut self) -> Option<ConnectionEnd> {
        let limits = self.downstream.context.limits.clone();
        let read_mode = self.read_mode();
        let body = self.responses.current_body();
        let is_closing = *self.phase.borrow() >= Phase::Closing;
        let has_unwritten = self.output.has_unwritten();
        let stalled_at = self.output.last_progress + limits.downstream.write_stall_timeout;
        tokio::select! {
            // What was received goes first: a connection is not closed on a command that is there to be read.
            biased;
            is_open = receive(&mut self.reader, &mut self.input, read_mode, &limits) => {
                (!is_open).then_some(ConnectionEnd::Lost)
            }
            _ = self.output.writer.writable(), if has_unwritten => None,
            () = self.responses.first_ready.notified() => None,
            () = wait_for_body(body.as_deref()), if self.output.is_empty() => None,
            () = sleep_until(stalled_at), if has_unwritten => Some(ConnectionEnd::Lost),
            _ = self.phase.changed(), if !is_closing => None,
            () = self.idle_timer.expired(&limits) => self.look_once_more(),
        }
    }
}

/// Waits until more has been received; false once the client has gone. A client that goes is noticed also while nothing is
/// read, so that no request is forwarded long after its client left.
async fn receive(
    reader: &mut ReadHalf<'_>,
    input: &mut Vec<u8>,
    mode: ReadMode,
    limits: &Limits,
) -> bool {
    match mode {
        ReadMode::Commands => codec::read_more(reader, input, limits.codec.read_chunk_bytes)
            .await
            .unwrap_or(false),
        ReadMode::Discard => {
            let mut dropped = [0; LOOK_BYTES];
            while reader.read(&mut dropped).await.is_ok_and(|count| count > 0) {}
            false
        }
        ReadMode::Paused => {
            // The end is reported ahead of what has not been read.
            while !is_read_closed(reader).await {
                sleep(limits.downstream.liveness_check_interval).await;
            }
            false
        }
    }
}

async fn is_read_closed(reader: &ReadHalf<'_>) -> bool {
    let ready = reader.ready(Interest::READABLE).await;
    ready.is_ok_and(|ready| ready.is_read_closed())
}

/// Waits until there may be more of a value.
async fn wait_for_body(body: Option<&StreamingBody>) {
    match body {
        Some(body) => body.filled().await,
        None => std::future::pending().await,
    }
}
