//! The input of a client connection: the bytes that are not parsed yet, and the reading of more.

use crate::net::config::Limits;
use crate::net::resp::close::{self, SocketState};
use crate::net::resp::codec;
use tokio::io::{AsyncReadExt, Interest, Ready};
use tokio::net::tcp::ReadHalf;
use tokio::time::sleep;

/// Bytes that are read, or dropped, at a time past the parser.
const READ_NOW_BYTES: usize = 4096;

/// How a connection is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// Commands.
    Commands,
    /// The bytes behind malformed ones, which are dropped.
    Discard,
    /// Nothing: too much is unsent. The client's end is still noticed.
    Paused,
}

/// The state of the bytes that were received and not parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// There are none.
    Empty,
    /// They are a part of a command, or commands that wait until less is unsent.
    PartialCommand,
    /// They are malformed, or follow malformed bytes.
    Malformed,
}

/// How a wait for the client ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiveOutcome {
    /// Bytes were received.
    Received,
    /// The client has gone.
    ClientGone,
}

/// The bytes that a client has sent.
pub(super) struct Input<'a> {
    reader: ReadHalf<'a>,
    /// Bytes received and not parsed yet.
    bytes: Vec<u8>,
    /// Malformed bytes were received; nothing behind them can be parsed.
    is_malformed: bool,
}

impl<'a> Input<'a> {
    /// An input that has received nothing.
    pub(super) fn new(reader: ReadHalf<'a>) -> Self {
        Input {
            reader,
            bytes: Vec::new(),
            is_malformed: false,
        }
    }

    /// The bytes that are not parsed yet.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The state of the bytes that are not parsed yet.
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

    /// Removes bytes that are parsed.
    pub(super) fn consume(&mut self, count: usize, limits: &Limits) {
        codec::consume(&mut self.bytes, count, limits.codec.read_chunk_bytes);
    }

    /// Reads the bytes that the socket holds at this moment.
    pub(super) fn read_now(&mut self) -> SocketState {
        let mut received = [0; READ_NOW_BYTES];
        let state = close::read_now(self.reader.as_ref(), &mut received);
        if let SocketState::Read(count) = state {
            self.bytes.extend_from_slice(&received[..count]);
        }
        state
    }

    /// Waits until bytes were received, or the client has gone. The end of a client is noticed also while nothing is
    /// read, so that no request is forwarded long after its client left.
    pub(super) async fn receive(&mut self, mode: ReadMode, limits: &Limits) -> ReceiveOutcome {
        match mode {
            ReadMode::Commands => self.receive_commands(limits).await,
            ReadMode::Discard => self.discard_to_end().await,
            ReadMode::Paused => self.wait_for_end(limits).await,
        }
    }

    async fn receive_commands(&mut self, limits: &Limits) -> ReceiveOutcome {
        let step = limits.codec.read_chunk_bytes;
        match codec::read_more(&mut self.reader, &mut self.bytes, step).await {
            Ok(()) => ReceiveOutcome::Received,
            Err(_) => ReceiveOutcome::ClientGone,
        }
    }

    async fn discard_to_end(&mut self) -> ReceiveOutcome {
        let mut dropped = [0; READ_NOW_BYTES];
        while self
            .reader
            .read(&mut dropped)
            .await
            .is_ok_and(|count| count > 0)
        {}
        ReceiveOutcome::ClientGone
    }

    async fn wait_for_end(&self, limits: &Limits) -> ReceiveOutcome {
        // The runtime reports the end of the stream ahead of the bytes that were not read.
        while !self.is_read_closed().await {
            sleep(limits.downstream.liveness_check_interval).await;
        }
        ReceiveOutcome::ClientGone
    }

    async fn is_read_closed(&self) -> bool {
        let ready = self.reader.ready(Interest::READABLE).await;
        ready.is_ok_and(Ready::is_read_closed)
    }
}
