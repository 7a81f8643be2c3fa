//! Leases on datagrams: the acceptor and the proposers of this limiter, and the tasks of a lease holder.
//!
//! Without a section `lease` in our own configuration file nothing here runs. `quartzcleat_lease` decides; this module
//! carries messages and time to it, and carries out the tasks of a lease holder.

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
