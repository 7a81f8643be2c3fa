//! What the limiters balance, as a deterministic model in virtual time: limiters that are the real decision module,
//! one counter, discovery, hosts, rooms and clients. No clock, no sockets, no chance but what is seeded.
//!
//! A [`Scenario`] says who plays and what happens; [`play`] plays it once and hands back the records. Where the
//! scenario leaves something open, an [`Oracle`] chooses, so that a search can try every way.
//!
//! Not modelled: connections and their cost (a relay reaches its host after one delay), bandwidth, the limiter's
//! own CPU time and memory, probes and load reports, streams, peers, and clients that follow anything but the
//! scenario. Timers and events reach the module without delay.

pub mod counter;
mod limiter;
pub mod node;
pub mod oracle;
mod play;
pub mod scenario;

pub use oracle::{Oracle, Point};
pub use play::{play, Played};
pub use scenario::Scenario;
