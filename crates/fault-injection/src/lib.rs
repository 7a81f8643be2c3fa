//! Fault injection: many real processes of the program on loopback, with relays between them that lose, delay, duplicate
//! and reorder datagrams, and faults that a scenario names or that are generated from a seed: isolation, pauses, kills,
//! restarts. The target of the limiters' actions writes one history with one clock, and [`judge`] gives a verdict on it.
//! A run that never reached the changes of lease holder that its scenario is for is empty, which is a failure too.
//!
//! Modules depend on each other in one direction: `run` -> `trial` -> `network`, `limiter`, `limiter_config` ->
//! `link`, `target`, `scenario`; `row` and `verdict` read the report of a run, `testbed`, and know no sockets.

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
