//! A relay of TCP streams to the target. Bytes that are in transit when a direction is closed are delivered when it is
//! open again, as TCP would deliver them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

const COPY_BUFFER_BYTES: usize = 1_024;

/// Controls one direction of a relay. While it is closed, bytes wait.
#[derive(Debug, Default)]
pub struct Gate {
    /// The number of [`ClosedGate`] values; the gate is open while it is zero.
    closed: Cell<u32>,
    opened: Notify,
}

/// Keeps a gate closed until this value is dropped.
#[must_use = "the gate opens when this is dropped"]
pub struct ClosedGate<'a>(&'a Gate);

impl Drop for ClosedGate<'_> {
    fn drop(&mut self) {
        self.0.closed.set(self.0.closed.get().saturating_sub(1));
        self.0.opened.notify_waiters();
    }
}

impl Gate {
    /// Closes the gate. It opens when all the values that this method returned are dropped.
    pub fn close(&self) -> ClosedGate<'_> {
        self.closed.set(self.closed.get() + 1);
        ClosedGate(self)
    }

    async fn wait_until_open(&self) {
        loop {
            let opened = self.opened.notified();
            if self.closed.get() == 0 {
                return;
            }
            opened.await;
        }
    }
}

/// A relay of the streams from one limiter to the target.
pub struct StreamLink {
    /// The gate of the direction to the target: connections and actions.
    pub to_target: Gate,
    /// The gate of the direction from the target: answers.
    pub from_target: Gate,
    resets: Notify,
    address: SocketAddr,
}

impl StreamLink {
    /// Opens a relay to `target` and starts its task.
    ///
    /// # Errors
    /// Returns an error if no loopback address can be bound.
    pub async fn open(target: SocketAddr) -> std::io::Result<Rc<StreamLink>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Rc::new(StreamLink {
            to_target: Gate::default(),
            from_target: Gate::default(),
            resets: Notify::new(),
            address: listener.local_addr()?,
        });
        tokio::task::spawn_local(link.clone().accept(listener, target));
        Ok(link)
    }

    /// Returns the address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.resets.notify_waiters();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, target: SocketAddr) {
        loop {
            let Ok((limiter, _)) = listener.accept().await else {
                continue;
            };
            tokio::task::spawn_local(self.clone().relay(limiter, target));
        }
    }

    async fn relay(self: Rc<Self>, mut limiter: TcpStream, target: SocketAddr) {
        let reset = self.resets.notified();
        let was_reset = tokio::select! {
            () = self.relay_both_ways(&mut limiter, target) => false,
            () = reset => true,
        };
        if was_reset {
            // If the option cannot be set, the connection ends without a reset, which limiters also handle.
            let _ = limiter.set_zero_linger();
        }
    }

    async fn relay_both_ways(&self, limiter: &mut TcpStream, target: SocketAddr) {
        self.to_target.wait_until_open().await;
        let Ok(mut target) = TcpStream::connect(target).await else {
            return;
        };
        let (limiter_reader, limiter_writer) = limiter.split();
        let (target_reader, target_writer) = target.split();
        tokio::join!(
            copy(limiter_reader, target_writer, &self.to_target),
            copy(target_reader, limiter_writer, &self.from_target)
        );
    }
}

/// Copies bytes while the gate is open, until the stream ends or fails.
async fn copy(mut reader: ReadHalf<'_>, mut writer: WriteHalf<'_>, gate: &Gate) {
    let mut buffer = [0; COPY_BUFFER_BYTES];
    while let Ok(length @ 1..) = reader.read(&mut buffer).await {
        gate.wait_until_open().await;
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // Fails only if the peer is gone, which then needs no end of the stream.
    let _ = writer.shutdown().await;
}
