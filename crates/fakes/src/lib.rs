//! Fake hosts, counter, discovery service and clients on loopback. They run a [`quartzcleat_simulation::Scenario`]
//! against real limiter processes and record the externally visible events, which are checked against the same
//! invariants as the simulation's. The protocols are implemented independently of the limiter; the capacity of hosts
//! and the totals of the counter come from the simulation's own models, so that a scenario means the same in both
//! harnesses.
//!
//! Differences from the simulation: time is real; a connection that is refused for a single attempt appears as a
//! rejection; an unreachable machine still completes TCP handshakes.
//!
//! Modules depend on each other in one direction: `harness` -> `events` -> `client`, `server` -> `endpoints` ->
//! `context` -> `state`, `limiter`, `recorder`. Other crates use `process` and `load` directly.

mod client;
mod context;
mod endpoints;
mod events;
mod harness;
mod limiter;
pub mod load;
pub mod process;
mod recorder;
mod resp;
mod server;
mod state;
mod task;

pub use harness::{run, run_measured, run_with, RunReport};
pub use process::Usage;
