//! The hosts: the connection pool, and the encoding of commands and interpretation of replies.

mod call_codec;
mod connection;
mod host;
mod permits;
mod pool;

#[cfg(test)]
pub(crate) mod tests;

pub use call_codec::{interpret, may_become_reply, usage_figures, write_command, Interpretation};
pub use connection::UpstreamConnection;
pub use host::{HostProcess, IdleSlot};
pub use permits::ConnectionPermit;
pub use pool::UpstreamPool;
