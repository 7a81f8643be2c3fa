//! Input and output buffers of a connection.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Waits for more bytes. Cancelled while it waits, it has read nothing. The buffer has at least `step` bytes of free
/// capacity, so that a read that does not fill it needs no further call.
///
/// # Errors
/// The connection has failed; [`io::ErrorKind::UnexpectedEof`] where the other side has closed it.
pub async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    step: usize,
) -> io::Result<()> {
    buffer.reserve(step);
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Removes the first bytes of a buffer. An empty buffer of more than twice `keep` bytes releases its memory, which a
/// long message needed.
pub fn consume(buffer: &mut Vec<u8>, count: usize, keep: usize) {
    buffer.drain(..count);
    if buffer.is_empty() && buffer.capacity() > 2 * keep {
        *buffer = Vec::new();
    }
}
