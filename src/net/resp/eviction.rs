//! Eviction of an idle connection to make room for another one at the connection limit.

/// The outcome of an attempt to evict an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The connection that has been idle longest was evicted.
    Evicted,
    /// No connection is idle.
    NoneIdle,
}
