//! Reads that a signal interrupts.

use super::*;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::ReadBuf;

/// A stream whose every other read is interrupted by a signal.
struct InterruptedStream {
    is_interrupted: bool,
}

impl AsyncRead for InterruptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.is_interrupted = !self.is_interrupted;
        if !self.is_interrupted {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        buffer.put_slice(b"PING");
        Poll::Ready(Ok(()))
    }
}

/// A command was lost with its connection if a signal interrupted the read.
#[tokio::test(flavor = "current_thread")]
async fn interrupted_read_does_not_end_the_connection() {
    let mut stream = InterruptedStream {
        is_interrupted: true,
    };
    let mut received = Vec::new();
    read_more(&mut stream, &mut received, 16)
        .await
        .expect("the connection is up");
    assert_eq!(received, b"PING");
    let mut discarded = [0; 16];
    let count = read_some(&mut stream, &mut discarded).await;
    assert_eq!(count.expect("the connection is up"), 4);
}
