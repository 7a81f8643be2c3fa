//! Fault injection for leases: runs many real limiter processes on loopback. Relays between them lose, delay, duplicate
//! and reorder datagrams. Faults such as isolation, pauses, kills and restarts are named in a scenario or generated
//! from a seed. The target of the limiters' actions records one history with one clock, on which [`judge`] gives a
//! verdict. A run with fewer changes of lease holder than its scenario requires is empty, which also counts as a
//! failure.
//!
//! Modules depend on each other in one direction: `run` -> `trial` -> `network`, `limiter`, `limiter_config` ->
//! `link`, `target`, `scenario`. `row` and `verdict` evaluate the report of a run, which `testbed` defines, and use no
//! sockets.

mod limiter;
mod limiter_config;
pub mod link;
mod network;
pub mod row;
mod run;
pub mod scenario;
pub mod shrink;
pub mod target;
pub mod testbed;
mod trial;
pub mod verdict;

pub use row::Row;
pub use run::run;
pub use scenario::{Fault, Scenario};
pub use shrink::shrink;
pub use testbed::{RunReport, Testbed};
pub use verdict::{judge, Verdict};
