//! The eviction of an idle connection for another one, at the limit on connections.

/// Whether a connection was evicted for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The connection that has been idle longest was evicted.
    Evicted,
    /// None is idle.
    NoneIdle,
}
