//! One connection to a host, and its buffers.

use crate::net::resp::close::{self, SocketState};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A connection to a host. It carries one call at a time: behind another call, a call would wait for that one's answer,
/// and would be lost with it when the other is given up.
pub struct UpstreamConnection {
    /// The socket.
    pub stream: TcpStream,
    /// The host's address.
    pub peer: SocketAddr,
    /// Bytes received and not parsed yet.
    pub input: Vec<u8>,
    /// Bytes to be written.
    pub output: Vec<u8>,
    /// The whole command has been written.
    pub command_sent: bool,
}

impl UpstreamConnection {
    /// A fresh connection.
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        UpstreamConnection {
            stream,
            peer,
            input: Vec::new(),
            output: Vec::new(),
            command_sent: false,
        }
    }

    /// Whether the host has neither closed an idle connection nor sent anything on it, which would belong to no call.
    pub fn is_quiet(&self) -> bool {
        close::read_now(&self.stream, &mut [0]) == SocketState::Empty
    }
}
