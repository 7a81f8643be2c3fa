//! Closing of a connection without missing bytes that have already arrived or losing bytes that were written.

use nix::sys::socket::{recv, MsgFlags};
use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Size of the buffer into which discarded bytes are read.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// The state of the receive buffer of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// There is nothing to read.
    Empty,
    /// This many bytes were read.
    Read(usize),
    /// The peer has closed the connection, or the connection has failed.
    Closed,
}

/// Reads the received bytes directly from the kernel, bypassing the runtime's readiness state.
///
/// The runtime learns about readiness only when it polls the sockets. Since the last poll a command may have arrived on
/// a connection that is about to be closed, or the peer may have closed a connection that is about to be used.
pub fn read_now(stream: &TcpStream, buffer: &mut [u8]) -> SocketState {
    match recv(stream.as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
        Ok(0) => SocketState::Closed,
        Ok(count) => SocketState::Read(count),
        Err(error) if io::Error::from(error).kind() == io::ErrorKind::WouldBlock => {
            SocketState::Empty
        }
        Err(_) => SocketState::Closed,
    }
}

/// Closes a connection gracefully: shuts down the sending direction, then discards received bytes until the peer closes
/// the connection too, for at most `linger`. Returns the number of discarded bytes.
///
/// Closing a socket with unread bytes resets the connection, and the peer loses the bytes that it has not read yet.
/// Commands received during this time get no answer: their sender learns from the end of the connection that they were
/// not accepted.
pub async fn close_in_order(mut stream: TcpStream, linger: Duration) -> usize {
    if stream.shutdown().await.is_err() {
        return 0;
    }
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    let drain = async {
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            discarded_bytes += count;
        }
    };
    // The connection is reset if the peer keeps sending for longer.
    let _ = timeout(linger, drain).await;
    discarded_bytes
}
