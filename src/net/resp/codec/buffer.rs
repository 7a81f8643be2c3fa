//! Input and output buffers of a connection.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

#[cfg(test)]
mod tests;

/// Waits for more bytes and appends them to `buffer`, up to its capacity. A full buffer grows by `chunk_bytes` first.
/// Cancel-safe: no bytes are read if it is cancelled while waiting.
///
/// # Errors
/// The connection has failed; [`io::ErrorKind::UnexpectedEof`] if the peer has closed it.
pub async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    chunk_bytes: usize,
) -> io::Result<()> {
    if buffer.len() == buffer.capacity() {
        buffer.reserve_exact(chunk_bytes);
    }
    loop {
        match stream.read_buf(buffer).await {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Waits for bytes and reads some of them into `buffer`; returns 0 if the peer has closed the connection.
///
/// # Errors
/// The connection has failed.
pub async fn read_some(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut [u8],
) -> io::Result<usize> {
    loop {
        match stream.read(buffer).await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Removes the first `count` bytes of a buffer. If it is then empty and its capacity exceeds twice `retained_bytes`, as
/// after a long message, its memory is released.
pub fn consume(buffer: &mut Vec<u8>, count: usize, retained_bytes: usize) {
    buffer.drain(..count);
    if buffer.is_empty() && buffer.capacity() > 2 * retained_bytes {
        *buffer = Vec::new();
    }
}
