//! The body of a long value that is streamed from a host to a client: a bounded buffer between two tasks.
//!
//! The writer waits while the buffer is full, the reader while it is empty; each is notified when the other ends. The
//! buffer holds a small window of the value, or the whole value.

use super::memory::Reservation;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// The state of the writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriterState {
    /// More will be written.
    Writing,
    /// The whole value has been written.
    Complete,
    /// The remaining bytes will never be written.
    Failed,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// More of the value is buffered or will be written.
    MoreToCome,
    /// The value has been read to its end.
    Complete,
    /// The remaining bytes will never be written.
    Failed,
}

/// The body of a streamed value, which buffers the bytes that its host has sent and its client has not yet taken.
#[derive(Debug)]
pub struct StreamingBody {
    /// Length of the whole value in bytes.
    length: usize,
    /// Maximum number of bytes in the buffer.
    capacity: usize,
    /// Maximum length of the reader's output.
    window_bytes: usize,
    bytes: RefCell<VecDeque<u8>>,
    writer_state: Cell<WriterState>,
    /// Whether the client has disconnected.
    is_abandoned: Cell<bool>,
    /// Notified when there is more to read, or when the writer has ended.
    filled: Notify,
    /// Notified when there is capacity again, or when the client has disconnected.
    drained: Notify,
    /// The memory of the buffer, and of what writer and reader hold of the value.
    _reservation: Reservation,
}

impl StreamingBody {
    /// Creates the body of a value of `length` bytes, of which at most `window_bytes` are buffered. It keeps the
    /// reservation of its memory.
    pub fn new(length: usize, window_bytes: usize, reservation: Reservation) -> Rc<Self> {
        StreamingBody::with_capacity(length, window_bytes, window_bytes, reservation)
    }

    /// Creates the body of a value of `length` bytes, which can buffer all of them. The reader takes at most `window_bytes`
    /// at a time.
    pub fn whole(length: usize, window_bytes: usize, reservation: Reservation) -> Rc<Self> {
        StreamingBody::with_capacity(length, length, window_bytes, reservation)
    }

    fn with_capacity(
        length: usize,
        capacity: usize,
        window_bytes: usize,
        reservation: Reservation,
    ) -> Rc<Self> {
        Rc::new(StreamingBody {
            length,
            capacity,
            window_bytes,
            bytes: RefCell::new(VecDeque::with_capacity(capacity)),
            writer_state: Cell::new(WriterState::Writing),
            is_abandoned: Cell::default(),
            filled: Notify::new(),
            drained: Notify::new(),
            _reservation: reservation,
        })
    }

    /// Returns the length of the whole value in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns the maximum number of bytes that the reader takes at a time.
    pub fn window_bytes(&self) -> usize {
        self.window_bytes
    }

    /// Returns the number of bytes that may be written now.
    pub fn free_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.bytes.borrow().len())
    }

    /// Appends bytes to the buffer. The writer must not exceed [`free_capacity`](Self::free_capacity).
    pub fn write(&self, bytes: &[u8]) {
        self.bytes.borrow_mut().extend(bytes);
        self.filled.notify_one();
    }

    /// Records that the whole value has been written. Has no effect after [`fail`](Self::fail).
    pub fn complete(&self) {
        self.end(WriterState::Complete);
    }

    /// Records that the remaining bytes of the value will never be written. Has no effect after
    /// [`complete`](Self::complete).
    pub fn fail(&self) {
        self.end(WriterState::Failed);
    }

    fn end(&self, state: WriterState) {
        if self.writer_state.get() == WriterState::Writing {
            self.writer_state.set(state);
            self.filled.notify_one();
        }
    }

    /// Records that the client has disconnected.
    pub fn abandon(&self) {
        self.is_abandoned.set(true);
        self.drained.notify_one();
    }

    /// Returns whether the remaining bytes of the value will never be written.
    pub fn has_failed(&self) -> bool {
        self.writer_state.get() == WriterState::Failed
    }

    /// Returns whether the client has disconnected.
    pub fn is_abandoned(&self) -> bool {
        self.is_abandoned.get()
    }

    /// Waits until there may be capacity again, or the client may have disconnected.
    pub async fn drained(&self) {
        self.drained.notified().await;
    }

    /// Waits until there may be more to read, or the writer has ended.
    pub async fn filled(&self) {
        let is_writing = self.writer_state.get() == WriterState::Writing;
        if is_writing && self.bytes.borrow().is_empty() {
            self.filled.notified().await;
        }
    }

    /// Moves bytes from the buffer to the end of `output`, up to a length of `output` of
    /// [`window_bytes`](Self::window_bytes).
    pub fn read(&self, output: &mut Vec<u8>) -> ReadOutcome {
        let mut bytes = self.bytes.borrow_mut();
        let free = self.window_bytes.saturating_sub(output.len());
        let count = bytes.len().min(free);
        if count > 0 {
            let (first, second) = bytes.as_slices();
            let first = &first[..count.min(first.len())];
            output.extend_from_slice(first);
            output.extend_from_slice(&second[..count - first.len()]);
            bytes.drain(..count);
            self.drained.notify_one();
        }
        match self.writer_state.get() {
            WriterState::Complete if bytes.is_empty() => ReadOutcome::Complete,
            WriterState::Failed if bytes.is_empty() => ReadOutcome::Failed,
            _ => ReadOutcome::MoreToCome,
        }
    }
}

impl PartialEq for StreamingBody {
    fn eq(&self, other: &Self) -> bool {
        std::ptr::eq(self, other)
    }
}
