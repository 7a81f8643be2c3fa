//! The end of a connection: bytes received by then are seen, and bytes written are not lost by the close.

use nix::sys::socket::{recv, MsgFlags};
use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes that are dropped at a time.
const DROP_BYTES: usize = 4096;

/// The receive buffer of a socket at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Nothing to read.
    Empty,
    /// So many bytes, which were read.
    Read(usize),
    /// The other side has closed it, or it is broken.
    Closed,
}

/// Reads the bytes received, past the runtime.
///
/// The runtime's view of a socket is as old as its last poll of all of them: in between, a command may have arrived on
/// a connection that is about to be closed, or the end of one about to be used.
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

/// Closes a connection in order: nothing more is sent, and bytes that are still received are dropped until the other
/// side closes it too, for `linger` at most.
///
/// A close over unread bytes resets the connection, and the other side loses the bytes that it has not read yet.
/// Commands that are received by now get no answer: their sender learns from the end of the connection that they were
/// not taken.
pub async fn close_in_order(mut stream: TcpStream, linger: Duration) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = [0; DROP_BYTES];
    let drain = async { while stream.read(&mut dropped).await.is_ok_and(|count| count > 0) {} };
    // A client that sends for longer is reset.
    let _ = timeout(linger, drain).await;
}
