//! The input of a client connection: reads bytes and buffers them until they are parsed.

use crate::net::config::Limits;
use crate::net::resp::close::{self, SocketState};
use crate::net::resp::codec;
use crate::net::resp::shared_reader::SharedReader;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Size of the buffer for reads that bypass the runtime and for discarded bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// How the bytes that a client sends are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// They are read and parsed as commands.
    Commands,
    /// They are discarded, since they follow malformed bytes.
    Discard,
    /// They are left unread, since too many bytes are unsent. The end of the stream is still noticed.
    Paused,
}

/// The state of the received bytes that are not parsed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// There are none.
    Empty,
    /// They are the start of a command, or commands that are not handled until fewer bytes are unsent.
    PartialCommand,
    /// They are malformed, or follow malformed bytes.
    Malformed,
}

/// The outcome of waiting for bytes from the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiveOutcome {
    /// Bytes were received.
    Received,
    /// The client has closed the connection, or the connection has failed.
    ClientGone,
}

/// The input buffer of a client connection.
pub(super) struct Input<'a> {
    reader: SharedReader<'a>,
    /// Bytes received and not parsed yet.
    bytes: Vec<u8>,
    /// Whether malformed bytes were received, after which nothing can be parsed.
    is_malformed: bool,
}

impl<'a> Input<'a> {
    /// Creates an empty input.
    pub(super) fn new(stream: &'a TcpStream) -> Self {
        Input {
            reader: SharedReader::new(stream),
            bytes: Vec::new(),
            is_malformed: false,
        }
    }

    /// Returns the bytes that are not parsed yet.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the state of the bytes that are not parsed yet.
    pub(super) fn state(&self) -> InputState {
        if self.is_malformed {
            InputState::Malformed
        } else if self.bytes.is_empty() {
            InputState::Empty
        } else {
            InputState::PartialCommand
        }
    }

    /// Records that malformed bytes were received.
    pub(super) fn set_malformed(&mut self) {
        self.is_malformed = true;
    }

    /// Removes the first `count` bytes, which have been parsed.
    pub(super) fn consume(&mut self, count: usize, limits: &Limits) {
        codec::consume(&mut self.bytes, count, limits.codec.read_chunk_bytes);
    }

    /// Reads the bytes that the socket has received, bypassing the runtime.
    pub(super) fn read_now(&mut self) -> SocketState {
        let mut received = [0; READ_BUFFER_BYTES];
        let state = close::read_now(self.reader.stream(), &mut received);
        if let SocketState::Read(count) = state {
            self.bytes.extend_from_slice(&received[..count]);
        }
        state
    }

    /// Waits until bytes are received or the client has gone. A disconnect is noticed even while nothing is read, so
    /// that no request is forwarded long after its client has left.
    pub(super) async fn receive(&mut self, mode: ReadMode, limits: &Limits) -> ReceiveOutcome {
        match mode {
            ReadMode::Commands => self.receive_commands(limits).await,
            ReadMode::Discard => self.discard_to_end().await,
            ReadMode::Paused => self.wait_for_end(limits).await,
        }
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
        let chunk_bytes = limits.codec.read_chunk_bytes;
        match codec::read_more(&mut self.reader, &mut self.bytes, chunk_bytes).await {
            Ok(()) => ReceiveOutcome::Received,
            Err(_) => ReceiveOutcome::ClientGone,
        }
    }

    async fn discard_to_end(&mut self) -> ReceiveOutcome {
        let mut discarded = [0; READ_BUFFER_BYTES];
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
