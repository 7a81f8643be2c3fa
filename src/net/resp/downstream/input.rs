//! The input of a client connection: reads bytes and buffers them until they are parsed.
//!
//! Each connection has a buffer for short commands. The memory of a longer command is reserved as a whole, by its announced
//! length, before its rest is read: commands that grew piece by piece to a common limit could all wait for each other. A
//! command whose memory is not free in time is rejected, and its bytes are discarded as they arrive.

use super::long_command::LongCommand;
use super::read_pause::ReadPause;
use crate::net::config::Limits;
use crate::net::memory::{MemoryBudget, Owner, Reservation};
use crate::net::resp::close::{self, SocketState};
use crate::net::resp::codec::{self, AnnouncedCommand};
use crate::net::resp::shared_reader::SharedReader;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest, Ready};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

/// Size of the buffer for reads that bypass the runtime and for discarded bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// How the bytes that a client sends are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// They are read and parsed as commands.
    Commands,
    /// They are discarded, since they follow malformed bytes.
    Discard,
    /// They are left unread, since too many bytes are unsent, or a value is streamed: if its host breaks off within it,
    /// the connection is closed, and the client can send again only what the limiter has not read. The end of the stream is
    /// still noticed.
    Paused,
}

/// The state of the received bytes that are not parsed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// There are none.
    Empty,
    /// They are the start of a command, or commands that are not handled while reading is paused.
    PartialCommand,
    /// They are malformed, or follow malformed bytes.
    Malformed,
}

/// The outcome of waiting for bytes from the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiveOutcome {
    /// Bytes were received, or the memory for them was granted or refused.
    Received,
    /// The client has closed the connection, or the connection has failed.
    ClientGone,
}

/// Whether the rest of an incomplete command can be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rest {
    /// It can, at once or as soon as its memory is reserved.
    Receivable,
    /// The command is longer than a command may be.
    TooLong,
    /// There is no memory for it, and its end is not known, so that the bytes behind it cannot be parsed.
    NoMemory,
}

/// The bytes of a complete command.
pub(super) struct CommandBytes {
    /// The bytes.
    pub(super) bytes: Vec<u8>,
    /// The memory that a long command takes; `None` for a short one.
    pub(super) reservation: Option<Reservation>,
    /// Time for which the command may have been complete and unread, because it waited for memory or reading was paused.
    pub(super) waited: Duration,
}

/// The input buffer of a client connection.
pub(super) struct Input<'a> {
    reader: SharedReader<'a>,
    memory: Rc<MemoryBudget>,
    /// Received bytes.
    bytes: Vec<u8>,
    /// Number of bytes at the start of `bytes` that have been parsed.
    parsed: usize,
    /// The command after the parsed bytes, if it is long.
    long_command: LongCommand,
    /// Whether malformed bytes were received, after which nothing can be parsed.
    is_malformed: bool,
    pause: ReadPause,
}

impl<'a> Input<'a> {
    /// Creates an empty input.
    pub(super) fn new(stream: &'a TcpStream, memory: &Rc<MemoryBudget>) -> Self {
        Input {
            reader: SharedReader::new(stream),
            memory: memory.clone(),
            bytes: Vec::new(),
            parsed: 0,
            long_command: LongCommand::None,
            is_malformed: false,
            pause: ReadPause::None,
        }
    }

    /// Returns the bytes that are not parsed yet.
    pub(super) fn unparsed(&self) -> &[u8] {
        &self.bytes[self.parsed..]
    }

    /// Returns the state of the bytes that are not parsed yet.
    pub(super) fn state(&self) -> InputState {
        if self.is_malformed {
            InputState::Malformed
        } else if self.unparsed().is_empty() && !self.is_rejecting() {
            InputState::Empty
        } else {
            InputState::PartialCommand
        }
    }

    /// Records that malformed bytes were received.
    pub(super) fn set_malformed(&mut self) {
        self.is_malformed = true;
        self.release_buffer();
    }

    fn release_buffer(&mut self) {
        self.bytes = Vec::new();
        self.parsed = 0;
        self.long_command = LongCommand::None;
    }

    /// Returns whether the command after the parsed bytes may be complete, so that it can be parsed.
    pub(super) fn is_parsable(&self) -> bool {
        matches!(
            self.long_command,
            LongCommand::None | LongCommand::Reading { .. }
        )
    }

    /// Returns whether the bytes of a rejected command are being discarded.
    pub(super) fn is_rejecting(&self) -> bool {
        matches!(self.long_command, LongCommand::Rejected { .. })
    }

    /// Returns whether a command was rejected for lack of memory and has been received to its end, once for each command.
    pub(super) fn take_rejected(&mut self) -> bool {
        let is_complete = matches!(
            self.long_command,
            LongCommand::Rejected { remaining_bytes: 0 }
        );
        if is_complete {
            self.long_command = LongCommand::None;
        }
        is_complete
    }

    /// Removes the first `length` unparsed bytes, a complete command, and returns them. The bytes of a long command are
    /// not copied.
    pub(super) fn take_command(&mut self, length: usize) -> CommandBytes {
        if let LongCommand::Reading {
            reservation,
            waited,
            ..
        } = std::mem::take(&mut self.long_command)
        {
            // The buffer contains the command and nothing else.
            return CommandBytes {
                bytes: std::mem::take(&mut self.bytes),
                reservation: Some(reservation),
                waited: waited + self.pause.duration(),
            };
        }
        let bytes = self.unparsed()[..length].to_vec();
        self.parsed += length;
        CommandBytes {
            bytes,
            reservation: None,
            waited: self.pause.duration(),
        }
    }

    /// Removes the parsed bytes from the buffer, and releases an empty buffer.
    pub(super) fn remove_parsed(&mut self) {
        self.bytes.drain(..self.parsed);
        self.parsed = 0;
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }

    /// Reserves memory for the rest of a long command that is incomplete. The command is rejected if there is none within
    /// `max_wait`.
    pub(super) fn reserve_rest(
        &mut self,
        announced: &AnnouncedCommand,
        max_wait: Duration,
        limits: &Limits,
    ) -> Rest {
        if announced.min_bytes > limits.codec.max_frame_bytes {
            return Rest::TooLong;
        }
        if let LongCommand::Reading { min_bytes, .. } = &mut self.long_command {
            *min_bytes = announced.min_bytes;
        } else {
            self.request_memory(announced, max_wait, limits);
        }
        if self.is_parsable() || announced.is_exact {
            Rest::Receivable
        } else {
            Rest::NoMemory
        }
    }

    fn request_memory(
        &mut self,
        announced: &AnnouncedCommand,
        max_wait: Duration,
        limits: &Limits,
    ) {
        let min_bytes = announced.min_bytes;
        let bytes = if announced.is_exact {
            min_bytes
        } else {
            limits.codec.max_frame_bytes
        };
        self.long_command = LongCommand::AwaitsMemory {
            reservation: self.memory.request(Owner::Commands, bytes),
            bytes,
            min_bytes,
            since: Instant::now(),
            until: Instant::now() + max_wait,
        };
        self.use_granted_memory();
    }

    /// Moves the start of a long command to a buffer for the whole command, if its memory has been granted.
    fn use_granted_memory(&mut self) {
        let LongCommand::AwaitsMemory {
            reservation,
            bytes,
            min_bytes,
            since,
            ..
        } = &self.long_command
        else {
            return;
        };
        let Some(granted) = reservation.take() else {
            return;
        };
        let mut buffer = Vec::with_capacity(*bytes);
        buffer.extend_from_slice(self.unparsed());
        let min_bytes = *min_bytes;
        let waited = since.elapsed();
        self.bytes = buffer;
        self.parsed = 0;
        self.long_command = LongCommand::Reading {
            reservation: granted,
            min_bytes,
            waited,
        };
    }

    /// Rejects the command that waits for memory.
    fn reject(&mut self) {
        if let LongCommand::AwaitsMemory { min_bytes, .. } = self.long_command {
            let remaining_bytes = min_bytes - self.unparsed().len();
            self.release_buffer();
            self.long_command = LongCommand::Rejected { remaining_bytes };
            tracing::debug!(remaining_bytes, "long command rejected for lack of memory");
        }
    }

    /// Reads the bytes that the socket has received, bypassing the runtime. While a command waits for memory, only its
    /// end is noticed.
    pub(super) fn read_now(&mut self) -> SocketState {
        let mut received = [0; READ_BUFFER_BYTES];
        let limit = match self.long_command {
            LongCommand::None => READ_BUFFER_BYTES,
            LongCommand::Reading { min_bytes, .. } => self.missing_bytes(min_bytes),
            LongCommand::Rejected { remaining_bytes } => remaining_bytes,
            LongCommand::AwaitsMemory { .. } => {
                return close::peek_now(self.reader.stream());
            }
        };
        if limit == 0 {
            return SocketState::Read(0);
        }
        let limit = limit.min(READ_BUFFER_BYTES);
        let state = close::read_now(self.reader.stream(), &mut received[..limit]);
        if let SocketState::Read(count) = state {
            self.add(&received[..count]);
        }
        state
    }

    /// Returns how many bytes of an incomplete command with at least `min_bytes` can be received, and none behind it. A part
    /// of a header may be longer than what `min_bytes` counts for it.
    fn missing_bytes(&self, min_bytes: usize) -> usize {
        min_bytes.saturating_sub(self.bytes.len()).max(1)
    }

    /// Adds received bytes to the buffer, or discards them if they belong to a rejected command.
    fn add(&mut self, received: &[u8]) {
        match &mut self.long_command {
            LongCommand::Rejected { remaining_bytes } => *remaining_bytes -= received.len(),
            _ => self.bytes.extend_from_slice(received),
        }
    }

    /// Waits until bytes are received or the client has gone. A disconnect is noticed even while nothing is read, so
    /// that no request is forwarded long after its client has left.
    pub(super) async fn receive(&mut self, mode: ReadMode, limits: &Limits) -> ReceiveOutcome {
        match mode {
            ReadMode::Commands => {
                self.end_pause();
                self.receive_commands(limits).await
            }
            ReadMode::Discard => self.discard_to_end().await,
            ReadMode::Paused => {
                self.pause.begin();
                self.wait_for_end(limits).await
            }
        }
    }

    /// Ends a pause of reading. What the client sends from now on has not waited for it.
    pub(super) fn end_pause(&mut self) {
        self.pause.end(self.reader.stream());
    }

    /// Returns whether the client is known to have closed the connection, even behind bytes that are not read yet. Does
    /// not wait.
    pub(super) async fn has_client_gone(&self) -> bool {
        tokio::select! {
            biased;
            is_closed = self.is_read_closed() => is_closed,
            () = std::future::ready(()) => false,
        }
    }

    async fn receive_commands(&mut self, limits: &Limits) -> ReceiveOutcome {
        match &self.long_command {
            LongCommand::None => self.receive_short(limits).await,
            LongCommand::AwaitsMemory { .. } => self.wait_for_memory(limits).await,
            LongCommand::Reading { .. } => self.receive_long().await,
            LongCommand::Rejected { .. } => self.discard_rejected().await,
        }
    }

    async fn receive_short(&mut self, limits: &Limits) -> ReceiveOutcome {
        let chunk_bytes = limits.codec.read_chunk_bytes;
        // A connection that waits for a command has no buffer.
        if self.bytes.is_empty() && self.reader.stream().readable().await.is_err() {
            return ReceiveOutcome::ClientGone;
        }
        match codec::read_more(&mut self.reader, &mut self.bytes, chunk_bytes).await {
            Ok(()) => ReceiveOutcome::Received,
            Err(_) => ReceiveOutcome::ClientGone,
        }
    }

    /// Waits until the memory for a long command is granted, or is refused because it was not free in time.
    async fn wait_for_memory(&mut self, limits: &Limits) -> ReceiveOutcome {
        let LongCommand::AwaitsMemory {
            reservation, until, ..
        } = &self.long_command
        else {
            return ReceiveOutcome::Received;
        };
        let is_granted = tokio::select! {
            biased;
            () = reservation.granted() => true,
            outcome = self.wait_for_end(limits) => return outcome,
            () = sleep_until(*until) => false,
        };
        if is_granted {
            self.use_granted_memory();
        } else {
            self.reject();
        }
        ReceiveOutcome::Received
    }

    /// Receives more of a long command, and nothing behind it.
    async fn receive_long(&mut self) -> ReceiveOutcome {
        let LongCommand::Reading { min_bytes, .. } = self.long_command else {
            return ReceiveOutcome::Received;
        };
        let missing = self.missing_bytes(min_bytes);
        let mut rest = (&mut self.reader).take(missing as u64);
        match codec::read_more(&mut rest, &mut self.bytes, missing).await {
            Ok(()) => ReceiveOutcome::Received,
            Err(_) => ReceiveOutcome::ClientGone,
        }
    }

    /// Discards more of a rejected command, and nothing behind it.
    async fn discard_rejected(&mut self) -> ReceiveOutcome {
        let LongCommand::Rejected { remaining_bytes } = &mut self.long_command else {
            return ReceiveOutcome::Received;
        };
        let mut discarded = vec![0; READ_BUFFER_BYTES.min(*remaining_bytes)];
        match codec::read_some(&mut self.reader, &mut discarded).await {
            Ok(count @ 1..) => {
                *remaining_bytes -= count;
                ReceiveOutcome::Received
            }
            _ => ReceiveOutcome::ClientGone,
        }
    }

    async fn discard_to_end(&mut self) -> ReceiveOutcome {
        // On the heap: an array would be a part of the task of each connection.
        let mut discarded = vec![0; READ_BUFFER_BYTES];
        while let Ok(1..) = codec::read_some(&mut self.reader, &mut discarded).await {}
        ReceiveOutcome::ClientGone
    }

    async fn wait_for_end(&self, limits: &Limits) -> ReceiveOutcome {
        // The runtime reports the end of the stream even while received bytes are unread.
        while !self.is_read_closed().await {
            sleep(limits.downstream.liveness_check_interval).await;
        }
        ReceiveOutcome::ClientGone
    }

    async fn is_read_closed(&self) -> bool {
        let ready = self.reader.stream().ready(Interest::READABLE).await;
        ready.is_ok_and(Ready::is_read_closed)
    }
}
