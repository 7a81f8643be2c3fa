//! A long value on its way from a host to a client: a bounded buffer between two tasks.
//!
//! The writer waits while the buffer is full, the reader while it is empty; each learns when the other is gone.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// The state of the writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriterState {
    /// More will be written.
    Writing,
    /// All of the value has been written.
    Complete,
    /// The remaining bytes will never be written.
    Failed,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The whole buffer was read, and more will be written.
    MoreToCome,
    /// The value has been read to its end.
    Complete,
    /// The remaining bytes will never be written.
    Failed,
}

/// A value, and the part of it that is on its way between its host and its client.
#[derive(Debug)]
pub struct StreamingBody {
    length: usize,
    /// The most bytes in the buffer.
    capacity: usize,
    bytes: RefCell<Vec<u8>>,
    writer_state: Cell<WriterState>,
    /// The client has gone.
    is_abandoned: Cell<bool>,
    /// Notified when there is more to read, or the writer has ended.
    filled: Notify,
    /// Notified when there is capacity again, or the client has gone.
    drained: Notify,
    /// Buffered bytes of the whole process, this body's included.
    buffered_bytes: Rc<Cell<usize>>,
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        let buffered = self.buffered_bytes.get();
        self.buffered_bytes.set(buffered - 2 * self.capacity);
    }
}

impl StreamingBody {
    /// The body of a value of this length, in bytes. It counts as twice its capacity: the reader holds as much again.
    pub fn new(length: usize, capacity: usize, buffered_bytes: Rc<Cell<usize>>) -> Rc<Self> {
        buffered_bytes.set(buffered_bytes.get() + 2 * capacity);
        Rc::new(StreamingBody {
            length,
            capacity,
            bytes: RefCell::default(),
            writer_state: Cell::new(WriterState::Writing),
            is_abandoned: Cell::default(),
            filled: Notify::new(),
            drained: Notify::new(),
            buffered_bytes,
        })
    }

    /// The value's length, in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// How many bytes may be written now.
    pub fn free_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.bytes.borrow().len())
    }

    /// Writes bytes; the writer keeps to the free capacity.
    pub fn write(&self, bytes: &[u8]) {
        self.bytes.borrow_mut().extend_from_slice(bytes);
        self.filled.notify_one();
    }

    /// Records that the value has been written to its end.
    pub fn complete(&self) {
        self.end(WriterState::Complete);
    }

    /// Records that the remaining bytes of the value will never be written.
    pub fn fail(&self) {
        self.end(WriterState::Failed);
    }

    fn end(&self, state: WriterState) {
        if self.writer_state.get() == WriterState::Writing {
            self.writer_state.set(state);
            self.filled.notify_one();
        }
    }

    /// Records that the client has gone.
    pub fn abandon(&self) {
        self.is_abandoned.set(true);
        self.drained.notify_one();
    }

    /// Whether the client has gone.
    pub fn is_abandoned(&self) -> bool {
        self.is_abandoned.get()
    }

    /// Waits until there may be capacity again, or the client may have gone.
    pub async fn drained(&self) {
        self.drained.notified().await;
    }

    /// Waits until there may be more to read.
    pub async fn filled(&self) {
        let is_writing = self.writer_state.get() == WriterState::Writing;
        if is_writing && self.bytes.borrow().is_empty() {
            self.filled.notified().await;
        }
    }

    /// Moves bytes from the buffer to `output`, which then holds the capacity at most.
    pub fn read(&self, output: &mut Vec<u8>) -> ReadOutcome {
        let mut bytes = self.bytes.borrow_mut();
        let count = bytes.len().min(self.capacity.saturating_sub(output.len()));
        if count > 0 {
            output.extend_from_slice(&bytes[..count]);
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
