//! A connection to a host, and its buffers.

use super::host::HostProcess;
use crate::net::config::Limits;
use crate::net::engine::Value;
use crate::net::memory::Reservation;
use crate::net::resp::close::{self, SocketState};
use crate::net::resp::codec;
use std::io;
use std::ops::Range;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// A connection to a host. Calls are not pipelined: a call would wait for the answer to the call before it, and would
/// be lost with it if that call were given up.
pub struct UpstreamConnection {
    /// The socket.
    pub stream: TcpStream,
    /// The process that the connection was established to.
    pub peer: HostProcess,
    /// Bytes received and not parsed yet.
    pub input: Vec<u8>,
    /// The memory of a long answer in `input`; `None` for a short one.
    pub input_reservation: Option<Reservation>,
    /// Bytes that have not been written yet.
    pub output: Vec<u8>,
    /// Whether the command has been written completely.
    pub command_sent: bool,
}

impl UpstreamConnection {
    /// Creates a connection with empty buffers.
    pub fn new(stream: TcpStream, peer: HostProcess) -> Self {
        UpstreamConnection {
            stream,
            peer,
            input: Vec::new(),
            input_reservation: None,
            output: Vec::new(),
            command_sent: false,
        }
    }

    /// Removes the first `length` bytes of the input, an answer, and returns the value that it contains. A long value is
    /// not copied.
    pub fn take_value(&mut self, range: Range<usize>, length: usize, limits: &Limits) -> Value {
        if let Some(reservation) = self.input_reservation.take() {
            let answer = std::mem::take(&mut self.input);
            return Value::from_answer(answer, range, reservation);
        }
        let value = self.input[range].to_vec();
        codec::consume(&mut self.input, length, limits.codec.read_chunk_bytes);
        value.into()
    }

    /// Releases the buffers of a connection that becomes idle.
    pub fn release_buffers(&mut self) {
        self.input = Vec::new();
        self.output = Vec::new();
    }

    /// Waits until the host has closed an idle connection or sent anything on it. Takes no buffer.
    pub async fn ended_or_received(&self) {
        let peek = || match close::peek_now(&self.stream) {
            SocketState::Empty => Err(io::ErrorKind::WouldBlock.into()),
            SocketState::Read(_) | SocketState::Closed => Ok(()),
        };
        while self.stream.readable().await.is_ok() {
            // The runtime may report bytes that have been read before.
            if self.stream.try_io(Interest::READABLE, peek).is_ok() {
                return;
            }
        }
    }

    /// Returns whether an idle connection is still open and the host has sent nothing on it. Bytes received on an idle
    /// connection would belong to no call.
    pub fn is_quiet(&self) -> bool {
        close::read_now(&self.stream, &mut [0]) == SocketState::Empty
    }
}
