//! One connection to the counter, and the calls that wait for an answer on it.

use super::liveness::CallProgress;
use crate::net::config::Limits;
use crate::net::resp::codec;
use std::collections::VecDeque;
use std::io;
use tokio::net::TcpStream;

/// A call whose command was written, or is about to be.
pub(super) struct WrittenCall {
    /// The call's number in its queue.
    pub number: u64,
    /// How many bytes the connection has carried once the call's last byte is written.
    pub end: u64,
}

/// A connection to the counter.
pub(super) struct CounterConnection {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes received and not parsed yet.
    pub input: Vec<u8>,
    /// Bytes to be written.
    pub output: Vec<u8>,
    /// Bytes written so far.
    flushed: u64,
    /// The counter has answered a call on this connection.
    pub has_answered: bool,
    /// The calls without an answer, oldest first.
    pub unanswered: VecDeque<WrittenCall>,
}

impl CounterConnection {
    /// A fresh connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        CounterConnection {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            flushed: 0,
            has_answered: false,
            unanswered: VecDeque::new(),
        }
    }

    /// Appends a call to the bytes to be written.
    pub(super) fn append(&mut self, number: u64, command: &mut Vec<u8>) {
        self.output.append(command);
        self.unanswered.push_back(WrittenCall {
            number,
            end: self.flushed + self.output.len() as u64,
        });
    }

    /// Whether calls wait for an answer, and whether others were answered before.
    pub(super) fn call_progress(&self) -> CallProgress {
        if self.unanswered.is_empty() {
            CallProgress::NoneWaiting
        } else if self.has_answered {
            CallProgress::AnsweredBefore
        } else {
            CallProgress::NeverAnswered
        }
    }

    /// Whether the last byte of a call has been written.
    pub(super) fn has_written(&self, call: &WrittenCall) -> bool {
        call.end <= self.flushed
    }

    /// Writes as much as the socket takes.
    ///
    /// # Errors
    /// The connection is broken.
    pub(super) fn flush(&mut self, limits: &Limits) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(count) => {
                    self.flushed += count as u64;
                    codec::consume(&mut self.output, count, limits.codec.read_chunk_bytes);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
