//! The last moments of a connection: what has come by then is seen, and what was written is not lost by its close. Knows
//! no protocol.

use nix::sys::socket::{recv, MsgFlags};
use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What a connection holds at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Now {
    /// Nothing has come.
    Nothing,
    /// So many bytes, which were taken.
    Bytes(usize),
    /// The other side has ended it, or it broke.
    End,
}

/// Takes what has come. Guards against the runtime's view of a socket, which is as old as its last look at all of them:
/// in between, a command may have come on a connection that is about to be closed, or the end of one about to be used.
pub fn read_now(stream: &TcpStream, buffer: &mut [u8]) -> Now {
    match recv(stream.as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
        Ok(0) => Now::End,
        Ok(count) => Now::Bytes(count),
        Err(e) if io::Error::from(e).kind() == io::ErrorKind::WouldBlock => Now::Nothing,
        Err(_) => Now::End,
    }
}

/// Ends a connection in order: no more is sent, and what still comes is dropped until the other side ends it too, or for
/// so long. Guards against a close over unread bytes, which resets the connection and takes along what its other side
/// has not read yet. What comes by now is answered by nobody: its sender learns by the end that it was not taken.
pub async fn in_order(mut stream: TcpStream, most: Duration) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = [0; 4096];
    let rest = async { while stream.read(&mut dropped).await.is_ok_and(|count| count > 0) {} };
    let _ = timeout(most, rest).await;
}
