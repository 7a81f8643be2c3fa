//! A deterministic simulation in virtual time of limiters that run the real decision engine, one counter, discovery,
//! hosts, zones and clients. It uses no clock, no sockets and only seeded randomness.
//!
//! A [`Scenario`] defines the processes and the events; [`simulate`] runs it once and returns the records. Where the
//! scenario lists several options, an [`Oracle`] chooses one, so that a search can explore all of them.
//!
//! Not modelled: connections and their cost (an attempt reaches its host after one delay), bandwidth, the limiter's
//! own CPU time and memory, health checks and load reports, streams, peers, and client behaviour beyond the
//! scenario. Timers and events reach the decision engine without delay.

pub mod counter;
mod event_queue;
mod executed_keys;
mod fingerprint;
pub mod host;
mod limiter;
mod network;
pub mod oracle;
pub mod scenario;
mod simulation;

pub use oracle::{ChoicePoint, Oracle};
pub use scenario::Scenario;
pub use simulation::{simulate, SimulationRun};
