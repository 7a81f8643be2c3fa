//! A connection to the counter and its unanswered calls.

use super::liveness::CallProgress;
use crate::net::config::Limits;
use crate::net::resp::codec;
use crate::net::system_call::repeat_interrupted;
use std::collections::VecDeque;
use std::io;
use tokio::net::TcpStream;

/// A call whose command was appended to the output of a connection and that has no answer yet.
pub(super) struct UnansweredCall {
    /// The sequence number of the call in its queue.
    pub number: u64,
    /// Offset of the end of the command in the byte stream of the connection.
    pub end_offset: u64,
}

/// A connection to the counter.
pub(super) struct CounterConnection {
    /// The connected socket.
    pub stream: TcpStream,
    /// Bytes received but not parsed yet.
    pub input: Vec<u8>,
    /// Bytes not written yet.
    pub output: Vec<u8>,
    /// Number of bytes written so far.
    bytes_written: u64,
    /// Whether any answer was received on this connection.
    pub has_answered: bool,
    /// The calls that have no answer yet, oldest first.
    pub unanswered: VecDeque<UnansweredCall>,
}

impl CounterConnection {
    /// Creates a connection without calls on a connected socket.
    pub(super) fn new(stream: TcpStream) -> Self {
        CounterConnection {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            bytes_written: 0,
            has_answered: false,
            unanswered: VecDeque::new(),
        }
    }

    /// Appends the command of a call to the output, and leaves `command` empty.
    pub(super) fn append(&mut self, number: u64, command: &mut Vec<u8>) {
        self.output.append(command);
        self.unanswered.push_back(UnansweredCall {
            number,
            end_offset: self.bytes_written + self.output.len() as u64,
        });
    }

    /// Returns whether calls wait for an answer, and whether any was received before.
    pub(super) fn call_progress(&self) -> CallProgress {
        if self.unanswered.is_empty() {
            CallProgress::NoneWaiting
        } else if self.has_answered {
            CallProgress::AnsweredBefore
        } else {
            CallProgress::NeverAnswered
        }
    }

    /// Returns whether the last byte of a call has been written.
    pub(super) fn has_written(&self, call: &UnansweredCall) -> bool {
        call.end_offset <= self.bytes_written
    }

    /// Writes as much of the output as the socket accepts without blocking.
    ///
    /// # Errors
    /// Returns an error if the connection has failed.
    pub(super) fn flush(&mut self, limits: &Limits) -> io::Result<()> {
        while !self.output.is_empty() {
            match repeat_interrupted(|| self.stream.try_write(&self.output)) {
                Ok(count) => {
                    self.bytes_written += count as u64;
                    codec::consume(&mut self.output, count, limits.codec.read_chunk_bytes);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
