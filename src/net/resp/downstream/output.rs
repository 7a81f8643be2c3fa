//! The output of a client connection: collects responses and writes them as the socket accepts bytes.

use super::output_buffer::OutputBuffer;
use super::response_queue::{CollectOutcome, ResponseQueue};
use crate::net::config::Limits;
use crate::net::system_call::repeat_interrupted;
use std::io;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The output buffer of a client connection.
pub(super) struct Output<'a> {
    stream: &'a TcpStream,
    buffer: OutputBuffer,
    /// Number of bytes in the buffer whose memory the response queue has reserved.
    reserved_bytes: usize,
    /// When the socket last accepted bytes, or the output was last empty.
    last_progress: Instant,
}

impl<'a> Output<'a> {
    /// Creates an empty output.
    pub(super) fn new(stream: &'a TcpStream) -> Self {
        Output {
            stream,
            buffer: OutputBuffer::default(),
            reserved_bytes: 0,
            last_progress: Instant::now(),
        }
    }

    /// Returns whether all collected bytes have been written.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the buffer has reached `max_unsent_bytes`, at which no further commands are handled.
    pub(super) fn is_full(&self, limits: &Limits) -> bool {
        self.buffer.unsent_count() >= limits.downstream.max_unsent_bytes
    }

    /// Appends the responses that are ready.
    pub(super) fn collect(&mut self, responses: &ResponseQueue) -> CollectOutcome {
        let collected = responses.collect(&mut self.buffer);
        self.reserved_bytes += collected.buffered_bytes;
        collected.outcome
    }

    /// Writes as much as the socket accepts without waiting.
    ///
    /// # Errors
    /// The connection has failed.
    pub(super) fn write(&mut self, responses: &ResponseQueue, limits: &Limits) -> io::Result<()> {
        if self.is_empty() {
            self.last_progress = Instant::now();
            return Ok(());
        }
        while !self.is_empty() {
            match repeat_interrupted(|| self.stream.try_write(self.buffer.unsent())) {
                Ok(count) => {
                    let retained_bytes = 2 * limits.codec.read_chunk_bytes;
                    self.buffer.advance(count, retained_bytes);
                    self.last_progress = Instant::now();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        responses.release(self.reserved_bytes);
        self.reserved_bytes = 0;
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
}
