//! Leases over datagrams: the acceptor and the proposers of this limiter, and the tasks of a lease holder.
//!
//! Nothing here runs without a section `lease` in the product configuration. The protocol is that of the sans-I/O crate
//! `quartzcleat_lease`; this module supplies it with messages and time, and runs the tasks of a lease holder.

mod clock;
mod error;
mod export;
mod heartbeat;
mod node;
mod propose;
mod receive;
mod startup;

pub use error::LeaseError;
pub use startup::{open_usage_recorder, start};
