//! A long value on its way from a host to a client: a bounded buffer between two tasks. Who writes waits while it is
//! full, who reads while it is empty; each learns when the other is gone.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// How far the value has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Course {
    Flowing,
    /// All of it is here or has been taken.
    Whole,
    /// The rest will not come.
    Broken,
}

/// A value and what of it is between its host and its client.
#[derive(Debug)]
pub struct Pipe {
    length: usize,
    window: usize,
    bytes: RefCell<Vec<u8>>,
    course: Cell<Course>,
    /// The client went away.
    left: Cell<bool>,
    /// Told when there is more to read, or the course has changed.
    filled: Notify,
    /// Told when there is room again, or the client went away.
    drained: Notify,
    /// Bytes held by all, with this one's window.
    held: Rc<Cell<usize>>,
}

/// What a reader finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// All that is here was taken, and more will come.
    More,
    /// The value has been taken to its end.
    Whole,
    /// The rest will never come.
    Broken,
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.held.set(self.held.get() - 2 * self.window);
    }
}

impl Pipe {
    /// A pipe for a value of this length. It counts as twice its window: the reader holds as much again.
    pub fn new(length: usize, window: usize, held: Rc<Cell<usize>>) -> Rc<Self> {
        held.set(held.get() + 2 * window);
        Rc::new(Pipe {
            length,
            window,
            bytes: RefCell::default(),
            course: Cell::new(Course::Flowing),
            left: Cell::default(),
            filled: Notify::new(),
            drained: Notify::new(),
            held,
        })
    }

    /// The value's whole length.
    pub fn length(&self) -> usize {
        self.length
    }

    /// How many bytes may be put in now.
    pub fn room(&self) -> usize {
        self.window - self.bytes.borrow().len().min(self.window)
    }

    /// Puts bytes in; the writer keeps to the room.
    pub fn put(&self, bytes: &[u8]) {
        self.bytes.borrow_mut().extend_from_slice(bytes);
        self.filled.notify_one();
    }

    /// The value has been put in to its end, or its rest will never come.
    pub fn end(&self, whole: bool) {
        if self.course.get() == Course::Flowing {
            self.course
                .set(if whole { Course::Whole } else { Course::Broken });
            self.filled.notify_one();
        }
    }

    /// The client went away.
    pub fn leave(&self) {
        self.left.set(true);
        self.drained.notify_one();
    }

    /// Whether the client went away.
    pub fn left(&self) -> bool {
        self.left.get()
    }

    /// Waits until there may be room again or the client may have gone.
    pub async fn drained(&self) {
        self.drained.notified().await;
    }

    /// Waits until there may be more to take.
    pub async fn filled(&self) {
        if self.bytes.borrow().is_empty() && self.course.get() == Course::Flowing {
            self.filled.notified().await;
        }
    }

    /// Moves what is here to `out`, as long as that holds no more than the window.
    pub fn take(&self, out: &mut Vec<u8>) -> Found {
        let mut bytes = self.bytes.borrow_mut();
        let count = bytes.len().min(self.window.saturating_sub(out.len()));
        if count > 0 {
            out.extend_from_slice(&bytes[..count]);
            bytes.drain(..count);
            self.drained.notify_one();
        }
        match (bytes.is_empty(), self.course.get()) {
            (true, Course::Whole) => Found::Whole,
            (true, Course::Broken) => Found::Broken,
            _ => Found::More,
        }
    }
}

impl PartialEq for Pipe {
    fn eq(&self, other: &Self) -> bool {
        std::ptr::eq(self, other)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_is_held_than_the_window_and_all_is_given_back() {
        let held = Rc::new(Cell::new(0));
        let (pipe, mut out, mut total) = (Pipe::new(100, 8, held.clone()), Vec::new(), 0);
        assert_eq!(held.get(), 16);
        for _ in 0..10 {
            pipe.put(&vec![7; pipe.room()]);
            assert_eq!((pipe.room(), pipe.take(&mut out)), (0, Found::More));
            assert!(out.len() <= 8);
            total += out.len();
            out.clear();
        }
        assert_eq!(total, 80);
        pipe.put(&[7; 4]);
        pipe.end(true);
        pipe.end(false);
        assert_eq!((pipe.take(&mut out), out.len()), (Found::Whole, 4));
        drop(pipe);
        assert_eq!(held.get(), 0);
    }

    #[test]
    fn a_rest_that_never_comes_is_told_after_what_came() {
        let (pipe, mut out) = (Pipe::new(100, 8, Rc::default()), vec![0; 6]);
        pipe.put(&[1, 2, 3]);
        pipe.end(false);
        assert_eq!((pipe.take(&mut out), out.len()), (Found::More, 8));
        out.clear();
        assert_eq!((pipe.take(&mut out), out), (Found::Broken, vec![3]));
    }
}
