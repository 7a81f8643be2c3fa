//! The output of a client connection: collects responses and writes them as the socket accepts bytes.

use super::response_queue::{CollectOutcome, ResponseQueue};
use crate::net::config::Limits;
use crate::net::resp::codec;
use crate::net::system_call::repeat_interrupted;
use std::io;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The output buffer of a client connection.
pub(super) struct Output<'a> {
    stream: &'a TcpStream,
    bytes: Vec<u8>,
    /// Number of bytes of `bytes` that have been written.
    written: usize,
    /// Number of bytes of `bytes` that count towards the buffered bytes of the process. Streamed values do not count.
    buffered_bytes: usize,
    /// When the socket last accepted bytes, or the output was last empty.
    last_progress: Instant,
}

impl<'a> Output<'a> {
    /// Creates an empty output.
    pub(super) fn new(stream: &'a TcpStream) -> Self {
        Output {
            stream,
            bytes: Vec::new(),
            written: 0,
            buffered_bytes: 0,
            last_progress: Instant::now(),
        }
    }

    /// Returns whether all collected bytes have been written.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether the buffer has reached `max_unsent_bytes`, at which no further commands are handled.
    pub(super) fn is_full(&self, limits: &Limits) -> bool {
        self.bytes.len() >= limits.downstream.max_unsent_bytes
    }

    /// Returns whether there are bytes that the socket has not accepted yet.
    pub(super) fn has_unwritten(&self) -> bool {
        self.written < self.bytes.len()
    }

    /// Appends the responses that are ready.
    pub(super) fn collect(&mut self, responses: &ResponseQueue) -> CollectOutcome {
        let collected = responses.collect(&mut self.bytes);
        self.buffered_bytes += collected.buffered_bytes;
        collected.outcome
    }

    /// Writes as much as the socket accepts without waiting.
    ///
    /// # Errors
    /// The connection has failed.
    pub(super) fn write(&mut self, responses: &ResponseQueue, limits: &Limits) -> io::Result<()> {
        if self.has_unwritten() {
            match repeat_interrupted(|| self.stream.try_write(&self.bytes[self.written..])) {
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

    /// Waits until the socket accepts more bytes.
    pub(super) async fn writable(&self) {
        // A failed socket reports its error at the next write.
        let _ = self.stream.writable().await;
    }

    /// Returns the time at which the client counts as gone if the socket accepts no bytes until then.
    pub(super) fn stalled_at(&self, limits: &Limits) -> Instant {
        self.last_progress + limits.downstream.write_stall_timeout
    }

    /// Releases the count of the unsent bytes of a lost connection.
    pub(super) fn abandon(&self, responses: &ResponseQueue) {
        responses.release(self.buffered_bytes);
    }
}
