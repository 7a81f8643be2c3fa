//! Reading from a socket that several owners look at.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A reader of a shared socket. Only one task may read from it at a time.
pub struct SharedReader<'a> {
    stream: &'a TcpStream,
}

impl<'a> SharedReader<'a> {
    /// Creates a reader of a socket.
    pub fn new(stream: &'a TcpStream) -> Self {
        SharedReader { stream }
    }

    /// Returns the socket.
    pub fn stream(&self) -> &'a TcpStream {
        self.stream
    }
}

impl AsyncRead for SharedReader<'_> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            let capacity = buffer.remaining();
            // Capacity that is not read into stays untouched: filling it with zeros would make it resident.
            match self.stream.try_read_buf(buffer) {
                Ok(count) => {
                    // A read that leaves room has emptied the socket, and the next one waits without a further call.
                    if (1..capacity).contains(&count) {
                        clear_readiness(self.stream);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

/// Makes the runtime wait for the next event of a socket before it reports the socket as readable again. The end of the
/// stream is still reported.
pub fn clear_readiness(stream: &TcpStream) {
    let wait_for_next_event = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
    // The result is the error that clears the readiness.
    let _ = stream.try_io(Interest::READABLE, wait_for_next_event);
}
