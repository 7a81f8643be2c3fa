//! The output of a client connection: responses that are collected, and written as far as the client takes them.

use super::response_queue::{CollectOutcome, ResponseQueue};
use crate::net::config::Limits;
use crate::net::resp::codec;
use std::io;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

/// The bytes that a client has not taken yet.
pub(super) struct Output<'a> {
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
    /// An output that is empty.
    pub(super) fn new(writer: WriteHalf<'a>) -> Self {
        Output {
            writer,
            bytes: Vec::new(),
            written: 0,
            buffered_bytes: 0,
            last_progress: Instant::now(),
        }
    }

    /// Whether the client has taken everything.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether so much is unsent that no further commands are handled.
    pub(super) fn is_full(&self, limits: &Limits) -> bool {
        self.bytes.len() >= limits.downstream.max_unsent_bytes
    }

    /// Whether bytes wait until the socket takes them.
    pub(super) fn has_unwritten(&self) -> bool {
        self.written < self.bytes.len()
    }

    /// Collects the responses that are ready.
    pub(super) fn collect(&mut self, responses: &ResponseQueue) -> CollectOutcome {
        let collected = responses.collect(&mut self.bytes);
        self.buffered_bytes += collected.buffered_bytes;
        collected.outcome
    }

    /// Writes as much as the socket takes.
    ///
    /// # Errors
    /// The connection has failed.
    pub(super) fn write(&mut self, responses: &ResponseQueue, limits: &Limits) -> io::Result<()> {
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

    /// Waits until the socket takes more.
    pub(super) async fn writable(&self) {
        // A socket that has failed reports so at the next write.
        let _ = self.writer.writable().await;
    }

    /// When a client that takes nothing counts as gone.
    pub(super) fn stalled_at(&self, limits: &Limits) -> Instant {
        self.last_progress + limits.downstream.write_stall_timeout
    }

    /// Gives up the unsent bytes: the client will never take them.
    pub(super) fn abandon(&self, responses: &ResponseQueue) {
        responses.release(self.buffered_bytes);
    }
}
