//! A connection to a host, and its buffers.

use crate::net::resp::close::{self, SocketState};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A connection to a host. Calls are not pipelined: a call would wait for the answer to the call before it, and would
/// be lost with it if that call were given up.
pub struct UpstreamConnection {
    /// The socket.
    pub stream: TcpStream,
    /// The address that the connection was established to.
    pub peer: SocketAddr,
    /// Bytes received and not parsed yet.
    pub input: Vec<u8>,
    /// Bytes that have not been written yet.
    pub output: Vec<u8>,
    /// Whether the command has been written completely.
    pub command_sent: bool,
}

impl UpstreamConnection {
    /// Creates a connection with empty buffers.
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        UpstreamConnection {
            stream,
            peer,
            input: Vec::new(),
            output: Vec::new(),
            command_sent: false,
        }
    }

    /// Returns whether an idle connection is still open and the host has sent nothing on it. Bytes received on an idle
    /// connection would belong to no call.
    pub fn is_quiet(&self) -> bool {
        close::read_now(&self.stream, &mut [0]) == SocketState::Empty
    }
}
