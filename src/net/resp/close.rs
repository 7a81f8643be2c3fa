//! Closing of a connection without missing bytes that have already arrived or losing bytes that were written.

use super::codec::read_some;
use super::shared_reader::{clear_readiness, SharedReader};
use crate::net::system_call::repeat_interrupted;
use nix::libc::POLLRDHUP;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::socket::{recv, shutdown, MsgFlags, Shutdown};
use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;
use tokio::io::Interest;
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

impl From<io::Result<usize>> for SocketState {
    /// Converts the result of a call that reads without waiting.
    fn from(received: io::Result<usize>) -> Self {
        match received {
            Ok(0) => SocketState::Closed,
            Ok(count) => SocketState::Read(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => SocketState::Empty,
            Err(_) => SocketState::Closed,
        }
    }
}

/// Reads the received bytes directly from the kernel, bypassing the runtime's readiness state.
///
/// The runtime learns about readiness only when it polls the sockets. Since the last poll a command may have arrived on
/// a connection that is about to be closed, or the peer may have closed a connection that is about to be used.
pub fn read_now(stream: &TcpStream, buffer: &mut [u8]) -> SocketState {
    receive(stream, buffer, MsgFlags::MSG_DONTWAIT).into()
}

/// Returns what [`read_now`] would return for a buffer of one byte, and leaves the byte unread.
pub fn peek_now(stream: &TcpStream) -> SocketState {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    receive(stream, &mut [0], flags).into()
}

fn receive(stream: &TcpStream, buffer: &mut [u8], flags: MsgFlags) -> io::Result<usize> {
    repeat_interrupted(|| recv(stream.as_raw_fd(), buffer, flags).map_err(io::Error::from))
}

/// Returns whether the peer has neither ended its sending nor reset the connection, as far as the kernel knows now.
pub fn is_peer_connected(stream: &TcpStream) -> bool {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    match receive(stream, &mut [0], flags) {
        Ok(0) => false,
        // The peer may have ended its sending behind the unread bytes.
        Ok(_) => !is_hung_up(stream),
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

fn is_hung_up(stream: &TcpStream) -> bool {
    // `PollFlags` does not name this event, so that the result is `None` if it is set.
    let peer_ended_sending = PollFlags::from_bits_retain(POLLRDHUP);
    let mut polled = [PollFd::new(stream.as_fd(), peer_ended_sending)];
    // A failed call says nothing about the connection; its end is read later.
    let is_ready = poll(&mut polled, PollTimeout::ZERO).is_ok_and(|count| count > 0);
    let failed = PollFlags::POLLHUP | PollFlags::POLLERR;
    let has_ended = |events: PollFlags| events.intersects(failed | peer_ended_sending);
    is_ready && polled[0].revents().is_none_or(has_ended)
}

/// Whether a socket held bytes when it was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadBytes {
    /// All received bytes had been read.
    None,
    /// Bytes were received that nobody read; the peer learns that from a reset.
    Some,
}

/// Closes a connection between two requests: shuts down the sending direction, then waits until the peer closes the
/// connection too, for at most `linger`. Bytes received during this time are not read.
///
/// A client may send again what the limiter has not read. A request read here would get no answer.
pub async fn close_between_requests(stream: &TcpStream, linger: Duration) -> UnreadBytes {
    if end_sending(stream).is_err() {
        return UnreadBytes::None;
    }
    // Closing earlier would reset the connection, and the peer would lose answers that it has not received yet.
    let _ = timeout(linger, peer_closed(stream)).await;
    unread_bytes(stream)
}

fn end_sending(stream: &TcpStream) -> io::Result<()> {
    Ok(shutdown(stream.as_raw_fd(), Shutdown::Write)?)
}

/// Waits until the peer has closed the connection, without reading the bytes before its end.
async fn peer_closed(stream: &TcpStream) {
    while let Ok(ready) = stream.ready(Interest::READABLE).await {
        if ready.is_read_closed() {
            return;
        }
        clear_readiness(stream);
    }
}

fn unread_bytes(stream: &TcpStream) -> UnreadBytes {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    match receive(stream, &mut [0], flags) {
        Ok(1..) => UnreadBytes::Some,
        Ok(0) | Err(_) => UnreadBytes::None,
    }
}

/// Closes a connection on which the limiter reads no further commands: shuts down the sending direction, then discards
/// received bytes until the peer closes the connection too, for at most `linger`. Returns the number of discarded bytes.
///
/// Closing a socket with unread bytes resets the connection, and the peer loses the bytes that it has not read yet.
pub async fn close_discarding(stream: &TcpStream, linger: Duration) -> usize {
    if end_sending(stream).is_err() {
        return 0;
    }
    let mut reader = SharedReader::new(stream);
    // On the heap: an array would be a part of the task of each connection.
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    let drain = async {
        while let Ok(count @ 1..) = read_some(&mut reader, &mut buffer).await {
            discarded_bytes += count;
        }
    };
    // The connection is reset if the peer keeps sending for longer.
    let _ = timeout(linger, drain).await;
    discarded_bytes
}
